package org.cassiabank.platform;

/** Documents as the operators and the backend servers of the platform write them. */
public final class PlatformTestDocuments {

    private PlatformTestDocuments() {}

    /** Returns a configuration with one service. */
    public static String configuration(int version) {
        return """
                {"version":"%08x","resources":[
                  {"resource_type":"services","metadata":{"name":"desk"},"spec":{}}]}
                """.formatted(version);
    }

    /** Returns a server of the service {@code desk} that accepts requests. */
    public static String server(int port) {
        return """
                {"address":"127.0.0.1:%d","status":{"state":"ready"},
                 "info":{"service":"desk","version":"v1","zone":"domain","slots":2}}
                """.formatted(port);
    }
}
