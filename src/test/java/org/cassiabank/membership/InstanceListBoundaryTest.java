package org.cassiabank.membership;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import org.cassiabank.kernel.CassiabankException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against two instance lists, or a list and the rest of another one, that are read as the first of them. */
class InstanceListBoundaryTest {

    @ParameterizedTest
    @ValueSource(strings = {"[][]", "[]]", "[]{", "[]x", "[{\"name\":\"a\",\"name\":\"b\"}]"})
    void aListFollowedByFurtherBytesOrWithAFieldThatStandsTwiceIsRefused(String document) {
        assertThatThrownBy(() -> InstanceListCodec.parse(1, document.getBytes(StandardCharsets.UTF_8)))
                .isInstanceOf(CassiabankException.class)
                .hasMessageContaining("not a JSON array of objects");
    }

    @Test
    void whiteSpaceBehindAListIsIgnored() {
        assertThat(InstanceListCodec.parse(1, "[]\r\n ".getBytes(StandardCharsets.UTF_8))
                        .instances())
                .isEmpty();
    }
}
