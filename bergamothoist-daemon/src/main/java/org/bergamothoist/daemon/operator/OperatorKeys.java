package org.bergamothoist.daemon.operator;

import jakarta.inject.Inject;
import java.security.MessageDigest;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import org.bergamothoist.daemon.settings.DaemonSettings;
import org.bergamothoist.daemon.settings.OperatorKey;
import org.bergamothoist.daemon.settings.SettingsLoader;

/** Finds the operator of a key, in time that depends neither on the key nor on the operators. */
final class OperatorKeys {

    private static final String BEARER = "Bearer ";

    private final List<OperatorKey> operators;

    @Inject
    OperatorKeys(DaemonSettings settings) {
        operators = settings.operators();
    }

    /**
     * Returns the operator with the key.
     *
     * @param header value of the Authorization header, or null
     */
    Optional<OperatorKey> find(String header) {
        String key =
                header != null && header.startsWith(BEARER)
                        ? header.substring(BEARER.length())
                        : "";
        byte[] digest = HexFormat.of().parseHex(SettingsLoader.sha256(key));
        OperatorKey found = null;
        for (OperatorKey operator : operators) {
            if (MessageDigest.isEqual(operator.digestBytes(), digest)) {
                found = operator;
            }
        }
        return Optional.ofNullable(found);
    }
}
