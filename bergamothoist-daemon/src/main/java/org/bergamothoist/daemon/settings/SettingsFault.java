package org.bergamothoist.daemon.settings;

/**
 * Something wrong with the settings.
 *
 * @param key path of the setting, for example {@code caller_address.port}; the file's name if the
 *     file cannot be read
 * @param reason what is wrong
 */
public record SettingsFault(String key, String reason) {

    @Override
    public String toString() {
        return key + ": " + reason;
    }
}
