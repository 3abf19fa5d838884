package org.cassiabank.proxy;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalDouble;
import org.cassiabank.kernel.CassiabankException;
import org.cassiabank.kernel.ErrorCode;
import org.cassiabank.kernel.Finding;
import org.cassiabank.kernel.FindingCollector;
import org.cassiabank.tls.TlsFiles;

/**
 * Parses the settings of a proxy daemon from TOML and reports all findings together.
 */
public final class ProxySettingsParser {
    private static final int DEFAULT_DRAIN_MILLIS = 5_000;

    /** Half an hour, the longest deadline of a caller. */
    private static final int DEFAULT_LONGEST_DRAIN_MILLIS = 30 * 60 * 1_000;

    private static final String DEFAULT_HEALTH_PATH = "/health";
    private static final TomlMapper MAPPER = new TomlMapper();

    /** Applies to settings without {@code link-megabits-per-second}, since a platform knows the link of an instance. */
    private static final String BANDWIDTH_VARIABLE = "CASSIABANK_LINK_MEGABITS_PER_SECOND";

    private ProxySettingsParser() {}

    /**
     * Reads a settings file.
     *
     * @param file the TOML file
     * @return the settings
     * @throws CassiabankException with {@link ErrorCode#INVALID_INPUT} if the file cannot be read, or with all findings
     *     if it is not valid
     */
    public static ProxySettings read(Path file) {
        try {
            ProxySettings settings = parse(file.toString(), Files.readString(file));
            return withBandwidthOfEnvironment(
                    settings,
                    Optional.ofNullable(System.getenv(BANDWIDTH_VARIABLE)).orElse(""));
        } catch (IOException exception) {
            throw CassiabankException.withCause(
                    ErrorCode.INVALID_INPUT, file + ": cannot be read: " + exception.getMessage(), exception);
        }
    }

    /**
     * Parses settings.
     *
     * @param source the name of the source in findings, such as the path of the file
     * @param text the TOML text
     * @return the settings
     * @throws CassiabankException with {@link ErrorCode#INVALID_INPUT} and all findings if the text is not valid
     */
    public static ProxySettings parse(String source, String text) {
        JsonNode table = parseToml(source, text);
        FindingCollector findings = FindingCollector.create();
        SettingsReader reader = SettingsReader.of(source, text, table, findings);
        String name = reader.required("name", ProxySettingsParser::parseNonEmpty);
        String region = reader.required("region", ProxySettingsParser::parseNonEmpty);
        String failureDomain = reader.required("failure-domain", ProxySettingsParser::parseNonEmpty);
        HostAndPort callersAddress = reader.required("callers-address", HostAndPort::parse);
        HostAndPort peerAddress = reader.required("peer-address", HostAndPort::parse);
        HostAndPort adminAddress = reader.required("admin-address", HostAndPort::parse);
        URI store = reader.required("store", ProxySettingsParser::parseHttpUrl);
        SchedulingMode scheduling = reader.optional("scheduling", ProxySettingsParser::parseSchedulingMode)
                .orElse(SchedulingMode.OWNER);
        boolean separateLongWork = reader.optional("separate-long-work", ProxySettingsParser::parseBoolean)
                .orElse(true);
        boolean fairAdmission = reader.optional("fair-admission", ProxySettingsParser::parseBoolean)
                .orElse(false);
        CallerLimits limits = readLimits(reader);
        long drainMillis = reader.positiveOrDefault("drain-millis", DEFAULT_DRAIN_MILLIS);
        long longestDrainMillis = reader.positiveOrDefault("longest-drain-millis", DEFAULT_LONGEST_DRAIN_MILLIS);
        PlatformSettings platform = readPlatformSettings(reader);
        Optional<TlsFiles> callersTls = readTlsFiles(reader, "callers-tls", source, findings);
        Optional<TlsFiles> peerTls = readTlsFiles(reader, "peer-tls", source, findings);
        if (peerTls.isPresent() && peerTls.get().trustedCertificates().isEmpty()) {
            findings.add(Finding.of(source, "peer-tls-trusted", "is missing; without it any peer would be accepted"));
        }
        OptionalDouble linkMegabitsPerSecond = reader.optional(
                        "link-megabits-per-second", ProxySettingsParser::parseBandwidth)
                .orElse(OptionalDouble.empty());
        reader.reportUnknownKeys();
        findings.throwIfAny();
        return new ProxySettings(
                name,
                region,
                failureDomain,
                callersAddress,
                peerAddress,
                adminAddress,
                store,
                scheduling,
                separateLongWork,
                fairAdmission,
                limits,
                drainMillis,
                longestDrainMillis,
                platform,
                callersTls,
                peerTls,
                linkMegabitsPerSecond);
    }

    private static CallerLimits readLimits(SettingsReader reader) {
        CallerLimits defaults = CallerLimits.defaults();
        return new CallerLimits(
                reader.positiveOrDefault("maximum-connections", defaults.connections()),
                reader.positiveOrDefault("maximum-requests-in-flight", defaults.requestsInFlight()),
                reader.positiveOrDefault("maximum-header-bytes", defaults.headerBytes()),
                reader.positiveOrDefault("maximum-body-bytes", defaults.bodyBytes()),
                reader.positiveOrDefault("maximum-answer-bytes", defaults.answerBytes()),
                reader.positiveOrDefault("header-millis", (int) defaults.headerMillis()),
                reader.positiveOrDefault("idle-millis", (int) defaults.idleMillis()));
    }

    private static PlatformSettings readPlatformSettings(SettingsReader reader) {
        return new PlatformSettings(
                reader.optional("platform-adapter", ProxySettingsParser::parseNonEmpty),
                reader.optional("health-path", ProxySettingsParser::parsePath).orElse(DEFAULT_HEALTH_PATH),
                reader.optional("platform-bounds", text -> text).orElse(""),
                reader.optional("claims", ProxySettingsParser::parseBoolean).orElse(true),
                reader.optional("floor-percent", ProxySettingsParser::parsePercent)
                        .orElse(0),
                reader.optional("suspicion-millis", SettingsReader::parsePositive)
                        .orElse(0),
                reader.optional("server-idle-millis", SettingsReader::parsePositive)
                        .map(Long::valueOf),
                reader.optional("unrepeatable-idle-millis", SettingsReader::parsePositive)
                        .orElse(0),
                reader.optional("connect-millis", SettingsReader::parsePositive).map(Long::valueOf));
    }

    private static Optional<TlsFiles> readTlsFiles(
            SettingsReader reader, String prefix, String source, FindingCollector findings) {
        Optional<Path> certificate = reader.optional(prefix + "-certificate", ProxySettingsParser::parseReadableFile);
        Optional<Path> key = reader.optional(prefix + "-key", ProxySettingsParser::parseReadableFile);
        Optional<Path> trusted = reader.optional(prefix + "-trusted", ProxySettingsParser::parseReadableFile);
        if (certificate.isPresent() != key.isPresent()) {
            findings.add(Finding.of(
                    source, prefix + "-certificate", "certificate and key must be given together, as readable files"));
            return Optional.empty();
        }
        return certificate.map(path -> new TlsFiles(path, key.orElseThrow(), trusted));
    }

    private static JsonNode parseToml(String source, String text) {
        try {
            return MAPPER.readTree(text);
        } catch (JsonProcessingException exception) {
            int line = exception.getLocation() == null
                    ? 1
                    : exception.getLocation().getLineNr();
            throw CassiabankException.ofFindings(
                    List.of(Finding.at(source, line, "", "TOML syntax: " + exception.getOriginalMessage())));
        }
    }

    private static String parseNonEmpty(String text) {
        if (text.isBlank()) {
            throw new IllegalArgumentException("must not be empty");
        }
        return text;
    }

    private static URI parseHttpUrl(String text) {
        URI url = URI.create(text);
        if (!"http".equals(url.getScheme()) && !"https".equals(url.getScheme())) {
            throw new IllegalArgumentException("expected an HTTP URL, not '" + text + "'");
        }
        return url;
    }

    private static SchedulingMode parseSchedulingMode(String text) {
        return switch (text.toLowerCase(Locale.ROOT)) {
            case "owner" -> SchedulingMode.OWNER;
            case "independent" -> SchedulingMode.INDEPENDENT;
            default -> throw new IllegalArgumentException("expected 'owner' or 'independent', not '" + text + "'");
        };
    }

    private static String parsePath(String text) {
        if (!text.startsWith("/")) {
            throw new IllegalArgumentException("expected a path that starts with /, not '" + text + "'");
        }
        return text;
    }

    private static int parsePercent(String text) {
        if (!text.matches("[0-9]{1,2}|100")) {
            throw new IllegalArgumentException("expected a whole number from 0 to 100, not '" + text + "'");
        }
        return Integer.parseInt(text);
    }

    /**
     * Adds the bandwidth that the environment names to settings that name none.
     *
     * @param settings the settings
     * @param bandwidth the bandwidth in megabits per second, empty if the environment names none
     * @return the settings, unchanged if they name a bandwidth
     * @throws CassiabankException with {@link ErrorCode#INVALID_INPUT} if the bandwidth is not valid
     */
    static ProxySettings withBandwidthOfEnvironment(ProxySettings settings, String bandwidth) {
        if (settings.linkMegabitsPerSecond().isPresent()) {
            return settings;
        }
        try {
            return settings.withLinkMegabitsPerSecond(parseBandwidth(bandwidth));
        } catch (IllegalArgumentException exception) {
            throw CassiabankException.withCause(
                    ErrorCode.INVALID_INPUT, BANDWIDTH_VARIABLE + ": " + exception.getMessage(), exception);
        }
    }

    /** Parses a bandwidth; an empty text stands for a platform that names none. */
    private static OptionalDouble parseBandwidth(String text) {
        if (text.isBlank()) {
            return OptionalDouble.empty();
        }
        if (!text.matches("[0-9]{1,9}([.][0-9]{1,9})?") || Double.parseDouble(text) == 0) {
            throw new IllegalArgumentException("expected a positive number, not '" + text + "'");
        }
        return OptionalDouble.of(Double.parseDouble(text));
    }

    private static boolean parseBoolean(String text) {
        return switch (text) {
            case "true" -> true;
            case "false" -> false;
            default -> throw new IllegalArgumentException("expected true or false, not '" + text + "'");
        };
    }

    private static Path parseReadableFile(String text) {
        Path path = Path.of(text);
        if (!Files.isReadable(path)) {
            throw new IllegalArgumentException("file '" + text + "' cannot be read");
        }
        return path;
    }
}
