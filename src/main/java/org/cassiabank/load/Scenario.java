package org.cassiabank.load;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.cassiabank.kernel.CassiabankException;
import org.cassiabank.kernel.ErrorCode;
import org.cassiabank.kernel.Finding;
import org.cassiabank.kernel.FindingCollector;

/**
 * A run that is described by a TOML file: phases of load and steps of a fault script.
 *
 * @param workMillis the median service time of short reads and orders, in milliseconds; long reads take 100 times as
 *     long
 * @param phases the phases of load in the order of their times
 * @param steps the steps of the fault script
 */
public record Scenario(
        @JsonProperty("work-millis") double workMillis,
        @JsonProperty("phase") List<PhaseEntry> phases,
        @JsonProperty("step") List<StepEntry> steps) {
    private static final double LONG_WORK_FACTOR = 100;

    /**
     * Copies the lists and replaces missing ones by empty lists.
     */
    public Scenario {
        phases = phases == null ? List.of() : List.copyOf(phases);
        steps = steps == null ? List.of() : List.copyOf(steps);
    }

    /**
     * Reads a scenario and validates it.
     *
     * @param file the TOML file
     * @return the scenario
     * @throws CassiabankException with all findings if the contents are invalid, or with
     *     {@link ErrorCode#INVALID_INPUT} if the file cannot be read
     */
    public static Scenario read(Path file) {
        try {
            Scenario scenario = new TomlMapper().readValue(Files.readString(file), Scenario.class);
            scenario.validate(file.toString());
            return scenario;
        } catch (JsonMappingException exception) {
            // The parsed tree of a TOML document has no line numbers; only syntax errors are reported with one.
            String key = exception.getPath().stream()
                    .map(reference -> reference.getFieldName() == null
                            ? "[" + reference.getIndex() + "]"
                            : reference.getFieldName())
                    .collect(Collectors.joining("."));
            throw CassiabankException.ofFindings(
                    List.of(Finding.of(file.toString(), key, exception.getOriginalMessage())));
        } catch (JsonProcessingException exception) {
            int line = exception.getLocation() == null
                    ? 1
                    : exception.getLocation().getLineNr();
            throw CassiabankException.ofFindings(
                    List.of(Finding.at(file.toString(), Math.max(1, line), "", exception.getOriginalMessage())));
        } catch (IOException exception) {
            throw CassiabankException.withCause(
                    ErrorCode.INVALID_INPUT, file + ": cannot be read: " + exception.getMessage(), exception);
        }
    }

    /**
     * Converts the phases of the file to phases of a schedule.
     *
     * @return the phases in the order of the file
     */
    public List<Phase> toPhases() {
        return phases.stream()
                .map(entry -> new Phase(
                        entry.name(),
                        entry.millis(),
                        entry.rate(),
                        entry.mix().entrySet().stream()
                                .map(share ->
                                        new Phase.Share(findKind(share.getKey()).orElseThrow(), share.getValue()))
                                .toList()))
                .toList();
    }

    /**
     * Creates the fault script for a fleet.
     *
     * @param fleet the fleet, whose processes must be running
     * @return the script
     * @throws CassiabankException with {@link ErrorCode#INVALID_INPUT} if a step refers to a member that the fleet does
     *     not have
     */
    public FaultScript toFaultScript(Fleet fleet) {
        return new FaultScript(steps.stream()
                .map(entry -> new FaultScript.Step(entry.atMillis(), toAction(entry, fleet)))
                .toList());
    }

    private static FaultScript.Action toAction(StepEntry entry, Fleet fleet) {
        boolean isPlatform = entry.member().equals("platform");
        Optional<FleetMember> member = fleet.findMember(entry.member());
        if (!isPlatform && member.isEmpty()) {
            throw CassiabankException.of(
                    ErrorCode.INVALID_INPUT, "the fleet has no member named \"" + entry.member() + "\"");
        }
        if (!entry.signal().isEmpty()) {
            ChildProcess process =
                    isPlatform ? fleet.platform() : member.orElseThrow().process();
            return new FaultScript.SendSignal(process, entry.signal());
        }
        String url = isPlatform ? fleet.platformUrl() : member.orElseThrow().controlUrl();
        return new FaultScript.PostRequest(url + "/control/faults", entry.faults());
    }

    private void validate(String source) {
        FindingCollector findings = FindingCollector.create();
        if (phases.isEmpty()) {
            findings.add(Finding.of(source, "phase", "at least one phase is needed"));
        }
        for (int index = 0; index < phases.size(); index++) {
            PhaseEntry entry = phases.get(index);
            String key = "phase[" + index + "]";
            if (entry.millis() <= 0 || entry.rate() <= 0) {
                findings.add(Finding.of(source, key, "millis and rate must be above 0"));
            }
            if (entry.mix().isEmpty()) {
                findings.add(Finding.of(source, key + ".mix", "must not be empty"));
            }
            for (String kindName : entry.mix().keySet()) {
                if (findKind(kindName).isEmpty()) {
                    findings.add(Finding.of(source, key + ".mix." + kindName, "expected short, long or order"));
                }
            }
        }
        for (int index = 0; index < steps.size(); index++) {
            StepEntry entry = steps.get(index);
            if (entry.signal().isEmpty() == entry.faults().isEmpty()) {
                findings.add(Finding.of(source, "step[" + index + "]", "needs either signal or faults"));
            }
        }
        findings.throwIfAny();
    }

    private Optional<RequestKind> findKind(String name) {
        return switch (name) {
            case "short" -> Optional.of(RequestKind.shortRead(workMillis));
            case "long" -> Optional.of(RequestKind.longRead(workMillis * LONG_WORK_FACTOR));
            case "order" -> Optional.of(RequestKind.order(workMillis));
            default -> Optional.empty();
        };
    }

    /**
     * A phase of load as the file contains it. The components are keys of the file.
     *
     * @param name the name in reports; {@code phase} if missing
     * @param millis the duration in milliseconds
     * @param rate the mean number of requests per second
     * @param mix the weights of the request kinds {@code short}, {@code long} and {@code order}
     */
    public record PhaseEntry(String name, long millis, double rate, Map<String, Double> mix) {

        /**
         * Copies the mix and replaces a missing name by {@code phase} and a missing mix by an empty one.
         */
        public PhaseEntry {
            name = name == null ? "phase" : name;
            mix = mix == null ? Map.of() : Map.copyOf(mix);
        }
    }

    /**
     * A step of the fault script as the file contains it. The components are keys of the file.
     *
     * @param atMillis the time since the start of the run, in milliseconds
     * @param member {@code platform} or the name of a proxy or backend server
     * @param signal the name of the signal to send to the member, without SIG; empty for none
     * @param faults the JSON document to post to {@code /control/faults} of the member; empty for none
     */
    public record StepEntry(@JsonProperty("at-millis") long atMillis, String member, String signal, String faults) {

        /**
         * Replaces missing values by empty strings.
         */
        public StepEntry {
            member = member == null ? "" : member;
            signal = signal == null ? "" : signal;
            faults = faults == null ? "" : faults;
        }
    }
}
