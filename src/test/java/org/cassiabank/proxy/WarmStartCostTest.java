package org.cassiabank.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.cassiabank.load.ChildProcess;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Guards against starts that use so much processor time that a fleet that starts as a whole serves late. */
@Timeout(60)
class WarmStartCostTest {
    private static final List<String> JAVA_OPTIONS =
            List.of("-Xmx112m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Dio.netty.noUnsafe=true");
    private static final Pattern RESULT = Pattern.compile("processor-millis=([0-9]+);");
    private static final String WHOLE = "whole";
    private static final String SINGLE_REQUEST = "single-request";

    @TempDir
    Path directory;

    @Test
    void aWarmStartCostsAtMostHalfAsMuchAgainAsASingleRequestThroughItsPath() throws Exception {
        long single = processorMillis(SINGLE_REQUEST);
        assertThat(processorMillis(WHOLE)).isLessThanOrEqualTo(single + single / 2);
    }

    private long processorMillis(String exercise) throws Exception {
        Path log = directory.resolve(exercise + ".log");
        try (ChildProcess process =
                ChildProcess.start(exercise, Exercise.class.getName(), JAVA_OPTIONS, List.of(exercise), log)) {
            Matcher result = RESULT.matcher("");
            while (!result.reset(Files.readString(log)).find()) {
                TimeUnit.MILLISECONDS.sleep(20);
            }
            return Long.parseLong(result.group(1));
        }
    }

    /** The program of the measured processes. */
    static final class Exercise {
        private Exercise() {}

        public static void main(String[] arguments) throws Exception {
            ProxySettings settings = WarmStartTest.settings();
            if (arguments[0].equals(WHOLE)) {
                WarmStart.create(settings, true).run();
            } else {
                try (RequestPathExercise path = RequestPathExercise.open(settings)) {
                    path.send();
                }
            }
            Duration used = ProcessHandle.current().info().totalCpuDuration().orElseThrow();
            System.out.println("processor-millis=" + used.toMillis() + ";");
            TimeUnit.MINUTES.sleep(1);
        }
    }
}
