package org.bergamothoist.daemon.caller;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class ServicePathTest {

    /** Guards against a booking path that escapes its mark by another spelling (G6). */
    @ParameterizedTest
    @CsvSource({
        "/v1/services/werkbank-app, , /",
        "/v1/services/werkbank-app/bookings, a=%62, /bookings?a=%62",
        "/v1/services/werkbank-app/%62ookings, , /bookings",
        "/v1/services/werkbank-app/a%c3%a9;v=1/, , /a%C3%A9;v=1/"
    })
    void normalises(String path, String query, String expected) {
        assertThat(ServicePath.parse(path, query))
                .isEqualTo(new ServicePath("werkbank-app", expected));
    }

    /** Guards against paths that the service might read as another one. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "/free/../bookings",
                "/free/%2e%2E/bookings",
                "/free/..;x/bookings",
                "//bookings",
                "/;x/bookings",
                "/free%2fbookings",
                "/free\\bookings",
                "/free/%5cbookings",
                "/%6",
                "/%zz"
            })
    void refusesAmbiguousPaths(String path) {
        assertThatThrownBy(() -> ServicePath.parse("/v1/services/app" + path, null))
                .isInstanceOf(InvalidRequestException.class);
    }
}
