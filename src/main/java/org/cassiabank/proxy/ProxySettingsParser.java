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
import org.cassiabank.kernel.CassiabankException;
import org.cassiabank.kernel.ErrorCode;
import org.cassiabank.kernel.Finding;
import org.cassiabank.kernel.FindingCollector;
import org.cassiabank.tls.TlsFiles;

/**
 * Reads the settings of a proxy daemon from TOML and reports everything that is wrong with them together.
 */
public final class ProxySettingsParser {
    private static final int DEFAULT_DRAIN_MILLIS = 5_000;
    /** Half an hour, the longest deadline of a caller. */
    private static final int DEFAULT_LONGEST_DRAIN_MILLIS = 30 * 60 * 1_000;

    private static final String DEFAULT_HEALTH_PATH = "/health";
    private static final TomlMapper MAPPER = new TomlMapper();

    private ProxySettingsParser() {}

    /**
     * Reads a file.
     *
     * @param file the file
     * @return the settings
     * @throws CassiabankException with {@link ErrorCode#INVALID_INPUT} if the file cannot be read or is not valid
     */
    public static ProxySettings read(Path file) {
        try {
            return parse(file.toString(), Files.readString(file));
        } catch (IOException exception) {
            throw CassiabankException.withCause(
                    ErrorCode.INVALID_INPUT, file + ": cannot be read: " + exception.getMessage(), exception);
        }
    }

    /**
     * Reads settings from text.
     *
     * @param source the name of the source, for findings
     * @param text the TOML text
     * @return the settings
     * @throws CassiabankException with all findings if the text is not valid
     */
    public static ProxySettings parse(String source, String text) {
        JsonNode table = parseToml(source, text);
        FindingCollector findings = FindingCollector.create();
        SettingsReader reader = SettingsReader.of(source, text, table, findings);
        String name = reader.required("name", ProxySettingsParser::nonEmpty);
        String region = reader.required("region", ProxySettingsParser::nonEmpty);
        String failureDomain = reader.required("failure-domain", ProxySettingsParser::nonEmpty);
        HostAndPort callers = reader.required("callers-address", HostAndPort::parse);
        HostAndPort peers = reader.required("peer-address", HostAndPort::parse);
        HostAndPort admin = reader.required("admin-address", HostAndPort::parse);
        URI store = reader.required("store", ProxySettingsParser::httpUrl);
        SchedulingMode scheduling = reader.optional("scheduling", ProxySettingsParser::schedulingMode)
                .orElse(SchedulingMode.OWNER);
        boolean separate =
                reader.optional("separate-long-work", ProxySettingsParser::flag).orElse(true);
        CallerLimits limits = limits(reader);
        long drainMillis = reader.positive("drain-millis", DEFAULT_DRAIN_MILLIS);
        long longestDrainMillis = reader.positive("longest-drain-millis", DEFAULT_LONGEST_DRAIN_MILLIS);
        PlatformSettings platform = platform(reader);
        Optional<TlsFiles> callersTls = tlsFiles(reader, "callers-tls", source, findings);
        Optional<TlsFiles> peerTls = tlsFiles(reader, "peer-tls", source, findings);
        if (peerTls.isPresent() && peerTls.get().trustedCertificates().isEmpty()) {
            findings.add(Finding.of(source, "peer-tls-trusted", "is missing; without it any peer would be accepted"));
        }
        reader.reportUnknownKeys();
        findings.throwIfAny();
        return new ProxySettings(
                name,
                region,
                failureDomain,
                callers,
                peers,
                admin,
                store,
                scheduling,
                separate,
                limits,
                drainMillis,
                longestDrainMillis,
                platform,
                callersTls,
                peerTls);
    }

    private static CallerLimits limits(SettingsReader reader) {
        CallerLimits defaults = CallerLimits.defaults();
        return new CallerLimits(
                reader.positive("maximum-connections", defaults.connections()),
                reader.positive("maximum-requests-in-flight", defaults.requestsInFlight()),
                reader.positive("maximum-header-bytes", defaults.headerBytes()),
                reader.positive("maximum-body-bytes", defaults.bodyBytes()),
                reader.positive("maximum-answer-bytes", defaults.answerBytes()),
                reader.positive("header-millis", (int) defaults.headerMillis()),
                reader.positive("idle-millis", (int) defaults.idleMillis()));
    }

    private static PlatformSettings platform(SettingsReader reader) {
        return new PlatformSettings(
                reader.optional("platform-adapter", ProxySettingsParser::nonEmpty),
                reader.optional("health-path", ProxySettingsParser::path).orElse(DEFAULT_HEALTH_PATH),
                reader.optional("platform-bounds", text -> text).orElse(""),
                reader.optional("claims", ProxySettingsParser::flag).orElse(true),
                reader.optional("floor-percent", ProxySettingsParser::percent).orElse(0),
                reader.optional("suspicion-millis", SettingsReader::parsePositive)
                        .orElse(0),
                reader.optional("server-idle-millis", SettingsReader::parsePositive)
                        .map(Long::valueOf),
                reader.optional("unrepeatable-idle-millis", SettingsReader::parsePositive)
                        .orElse(0),
                reader.optional("connect-millis", SettingsReader::parsePositive).map(Long::valueOf));
    }

    private static Optional<TlsFiles> tlsFiles(
            SettingsReader reader, String prefix, String source, FindingCollector findings) {
        Optional<Path> certificate = reader.optional(prefix + "-certificate", ProxySettingsParser::readableFile);
        Optional<Path> key = reader.optional(prefix + "-key", ProxySettingsParser::readableFile);
        Optional<Path> trusted = reader.optional(prefix + "-trusted", ProxySettingsParser::readableFile);
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
                    List.of(Finding.at(source, line, "", "not valid TOML: " + exception.getOriginalMessage())));
        }
    }

    private static String nonEmpty(String text) {
        if (text.isBlank()) {
            throw new IllegalArgumentException("must not be empty");
        }
        return text;
    }

    private static URI httpUrl(String text) {
        URI url = URI.create(text);
        if (!"http".equals(url.getScheme()) && !"https".equals(url.getScheme())) {
            throw new IllegalArgumentException("expected an HTTP URL, not '" + text + "'");
        }
        return url;
    }

    private static SchedulingMode schedulingMode(String text) {
        return switch (text.toLowerCase(Locale.ROOT)) {
            case "owner" -> SchedulingMode.OWNER;
            case "independent" -> SchedulingMode.INDEPENDENT;
            default -> throw new IllegalArgumentException("expected 'owner' or 'independent', not '" + text + "'");
        };
    }

    private static String path(String text) {
        if (!text.startsWith("/")) {
            throw new IllegalArgumentException("expected a path that starts with /, not '" + text + "'");
        }
        return text;
    }

    private static int percent(String text) {
        if (!text.matches("[0-9]{1,2}|100")) {
            throw new IllegalArgumentException("expected a whole number from 0 to 100, not '" + text + "'");
        }
        return Integer.parseInt(text);
    }

    private static boolean flag(String text) {
        return switch (text) {
            case "true" -> true;
            case "false" -> false;
            default -> throw new IllegalArgumentException("expected true or false, not '" + text + "'");
        };
    }

    private static Path readableFile(String text) {
        Path path = Path.of(text);
        if (!Files.isReadable(path)) {
            throw new IllegalArgumentException("file '" + text + "' cannot be read");
        }
        return path;
    }
}
