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
 * A run that is described in a TOML file: phases of load and steps of a fault script.
 *
 * @param workMillis the median service time of short work and orders, in milliseconds; long work takes 100 times longer
 * @param phases the phases
 * @param steps the steps
 */
public record Scenario(
        @JsonProperty("work-millis") double workMillis,
        @JsonProperty("phase") List<PhaseEntry> phases,
        @JsonProperty("step") List<StepEntry> steps) {
    private static final double LONG_WORK_FACTOR = 100;

    /**
     * Copies the lists; missing ones are empty.
     */
    public Scenario {
        phases = phases == null ? List.of() : List.copyOf(phases);
        steps = steps == null ? List.of() : List.copyOf(steps);
    }

    /**
     * Reads a scenario.
     *
     * @param file the TOML file
     * @return the scenario
     * @throws CassiabankException with all findings if the file is not valid
     */
    public static Scenario read(Path file) {
        try {
            Scenario scenario = new TomlMapper().readValue(Files.readString(file), Scenario.class);
            scenario.validate(file.toString());
            return scenario;
        } catch (JsonMappingException exception) {
            // The tree of a TOML document has no lines; only mistakes of syntax are reported with one.
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
     * Returns the phases of the schedule.
     *
     * @return the phases
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
     * Returns the fault script for a fleet.
     *
     * @param fleet the fleet
     * @return the script
     * @throws CassiabankException if a step names a member that the fleet does not have
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
     * A phase.
     *
     * @param name the name
     * @param millis the duration in milliseconds
     * @param rate the requests per second
     * @param mix the weights of {@code short}, {@code long} and {@code order}
     */
    public record PhaseEntry(String name, long millis, double rate, Map<String, Double> mix) {

        /**
         * Copies the mix; missing values get defaults.
         */
        public PhaseEntry {
            name = name == null ? "phase" : name;
            mix = mix == null ? Map.of() : Map.copyOf(mix);
        }
    }

    /**
     * A step of the fault script.
     *
     * @param atMillis the time since the start, in milliseconds
     * @param member {@code platform} or the name of a proxy or backend server
     * @param signal the signal for its process, without SIG; empty for none
     * @param faults the JSON document for its {@code /control/faults}; empty for none
     */
    public record StepEntry(@JsonProperty("at-millis") long atMillis, String member, String signal, String faults) {

        /**
         * Replaces missing values.
         */
        public StepEntry {
            member = member == null ? "" : member;
            signal = signal == null ? "" : signal;
            faults = faults == null ? "" : faults;
        }
    }
}
