package org.bergamothoist.gateway;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.bergamothoist.core.error.ErrorCode;
import org.bergamothoist.core.quota.QuotaBounds;

/**
 * Settings of a gateway daemon, read from JSON. Addresses are an IP address and a port.
 *
 * @param daemon name of the daemon
 * @param dataCentre where it is
 * @param callers address for callers
 * @param readiness address for checks of readiness
 * @param directory address where callers ask for addresses
 * @param peers address for other daemons, over TCP and UDP
 * @param metrics address of counters and histograms
 * @param seeds addresses of other daemons; may be stale
 * @param store address of the platform's store
 * @param orderLeaseMilliseconds least time between the orders of two daemons
 * @param graceSeconds time from the signal to stop until the process is killed
 * @param retryShare share of requests that may be sent once more, over all daemons
 * @param retrySlack retries allowed at once beside that share, over all daemons
 * @param longestOutdatedMilliseconds time after which no request may begin on outdated weights
 * @param configurationApplyMilliseconds time after which a changed configuration has to be in force
 * @param drainMilliseconds time after which a leaving target gets no requests
 * @param processorShare share of its cores that the VM may use
 * @param processorCores number of the VM's cores, or their speed relative to one core
 * @param crossDataCentreCostMillisecondsPerMegabyte waiting time that sending a megabyte to another
 *     data centre has to save
 * @param storeReaders least number of daemons that read the store in a fleet so large that not all
 *     do
 * @param quotaWindowSeconds length of the window in which organisations' quotas hold, or absent if
 *     nothing may run beyond them
 * @param quotaOverage share of a quota that may run beyond it in a window
 * @param quotaSlack units that may run beyond any quota in a window
 * @param admissionQueue whether requests wait in the daemon while targets are full, instead of
 *     being refused or sent at once
 * @param streamSeparation whether long prompts and urgent streams prefer different engines while
 *     event gaps are late
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record GatewaySettings(
        @JsonProperty("daemon") String daemon,
        @JsonProperty("data_centre") String dataCentre,
        @JsonProperty("callers") String callers,
        @JsonProperty("readiness") String readiness,
        @JsonProperty("directory") String directory,
        @JsonProperty("peers") String peers,
        @JsonProperty("metrics") String metrics,
        @JsonProperty("seeds") List<String> seeds,
        @JsonProperty("store") String store,
        @JsonProperty("order_lease_milliseconds") long orderLeaseMilliseconds,
        @JsonProperty("grace_seconds") double graceSeconds,
        @JsonProperty("retry_share") double retryShare,
        @JsonProperty("retry_slack") Integer retrySlack,
        @JsonProperty("longest_outdated_milliseconds") long longestOutdatedMilliseconds,
        @JsonProperty("configuration_apply_milliseconds") Long configurationApplyMilliseconds,
        @JsonProperty("drain_milliseconds") Long drainMilliseconds,
        @JsonProperty("processor_share") Double processorShare,
        @JsonProperty("processor_cores") Double processorCores,
        @JsonProperty("cross_data_centre_cost_milliseconds_per_megabyte")
                Double crossDataCentreCostMillisecondsPerMegabyte,
        @JsonProperty("store_readers") Integer storeReaders,
        @JsonProperty("quota_window_seconds") Double quotaWindowSeconds,
        @JsonProperty("quota_overage") Double quotaOverage,
        @JsonProperty("quota_slack") Double quotaSlack,
        @JsonProperty("admission_queue") Boolean admissionQueue,
        @JsonProperty("stream_separation") Boolean streamSeparation) {

    private static final int LARGEST_PORT = 65_535;

    private static final int DEFAULT_RETRY_SLACK = 20;
    private static final long DEFAULT_CONFIGURATION_APPLY_MILLISECONDS = 2_000;
    private static final long DEFAULT_DRAIN_MILLISECONDS = 2_000;
    private static final double DEFAULT_PROCESSORS = 1;
    private static final double MILLISECONDS_PER_SECOND = 1000.0;

    /** A tenth of the time that a megabyte takes on a link of 40 Mbit/s. */
    private static final double DEFAULT_MILLISECONDS_PER_MEGABYTE = 20;

    /** With fewer readers than data centres, more requests for records cross data centres. */
    private static final int DEFAULT_STORE_READERS = 4;

    public GatewaySettings {
        seeds = seeds == null ? List.of() : List.copyOf(seeds);
        retrySlack = orDefault(retrySlack, DEFAULT_RETRY_SLACK);
        configurationApplyMilliseconds =
                orDefault(configurationApplyMilliseconds, DEFAULT_CONFIGURATION_APPLY_MILLISECONDS);
        drainMilliseconds = orDefault(drainMilliseconds, DEFAULT_DRAIN_MILLISECONDS);
        processorShare = orDefault(processorShare, DEFAULT_PROCESSORS);
        processorCores = orDefault(processorCores, DEFAULT_PROCESSORS);
        crossDataCentreCostMillisecondsPerMegabyte =
                orDefault(
                        crossDataCentreCostMillisecondsPerMegabyte,
                        DEFAULT_MILLISECONDS_PER_MEGABYTE);
        storeReaders = orDefault(storeReaders, DEFAULT_STORE_READERS);
        quotaWindowSeconds = orDefault(quotaWindowSeconds, 0.0);
        quotaOverage = orDefault(quotaOverage, 0.0);
        quotaSlack = orDefault(quotaSlack, 0.0);
        admissionQueue = orDefault(admissionQueue, false);
        streamSeparation = orDefault(streamSeparation, false);
    }

    /** Creates settings with the defaults of the optional keys that follow. */
    public GatewaySettings(
            String daemon,
            String dataCentre,
            String callers,
            String readiness,
            String directory,
            String peers,
            String metrics,
            List<String> seeds,
            String store,
            long orderLeaseMilliseconds,
            double graceSeconds,
            double retryShare,
            Integer retrySlack,
            long longestOutdatedMilliseconds,
            Long configurationApplyMilliseconds,
            Long drainMilliseconds,
            Double processorShare,
            Double processorCores) {
        this(
                daemon,
                dataCentre,
                callers,
                readiness,
                directory,
                peers,
                metrics,
                seeds,
                store,
                orderLeaseMilliseconds,
                graceSeconds,
                retryShare,
                retrySlack,
                longestOutdatedMilliseconds,
                configurationApplyMilliseconds,
                drainMilliseconds,
                processorShare,
                processorCores,
                null,
                null,
                null,
                null,
                null,
                null,
                null);
    }

    private static <T> T orDefault(T stated, T defaultValue) {
        return stated == null ? defaultValue : stated;
    }

    /** Reads and checks a settings file; throws {@link GatewayException} that names each fault. */
    public static GatewaySettings read(Path file) {
        GatewaySettings settings;
        try {
            settings = new ObjectMapper().readValue(Files.readString(file), GatewaySettings.class);
        } catch (JsonProcessingException exception) {
            throw new GatewayException(
                    ErrorCode.INVALID_SETTINGS,
                    file + ": " + exception.getOriginalMessage(),
                    exception);
        } catch (IOException exception) {
            throw new GatewayException(
                    ErrorCode.INVALID_SETTINGS, file + " cannot be read", exception);
        }
        List<String> faults = settings.faults();
        if (!faults.isEmpty()) {
            throw new GatewayException(
                    ErrorCode.INVALID_SETTINGS, file + ": " + String.join("; ", faults));
        }
        return settings;
    }

    /** Returns every fault with its key. */
    public List<String> faults() {
        List<String> faults = new ArrayList<>();
        checkText(faults, "daemon", daemon);
        checkText(faults, "data_centre", dataCentre);
        checkAddress(faults, "callers", callers);
        checkAddress(faults, "readiness", readiness);
        checkAddress(faults, "directory", directory);
        checkAddress(faults, "peers", peers);
        checkAddress(faults, "metrics", metrics);
        checkAddress(faults, "store", store);
        seeds.forEach(seed -> checkAddress(faults, "seeds", seed));
        if (orderLeaseMilliseconds <= 0) {
            faults.add("order_lease_milliseconds: must be above 0");
        }
        if (graceSeconds <= 0) {
            faults.add("grace_seconds: must be above 0");
        }
        if (longestOutdatedMilliseconds <= 0) {
            faults.add("longest_outdated_milliseconds: must be above 0");
        }
        if (retrySlack < 0) {
            faults.add("retry_slack: must not be below 0");
        }
        if (configurationApplyMilliseconds <= 0) {
            faults.add("configuration_apply_milliseconds: must be above 0");
        }
        if (drainMilliseconds <= 0) {
            faults.add("drain_milliseconds: must be above 0");
        }
        if (processorShare <= 0) {
            faults.add("processor_share: must be above 0");
        }
        if (processorCores <= 0) {
            faults.add("processor_cores: must be above 0");
        }
        if (crossDataCentreCostMillisecondsPerMegabyte < 0) {
            faults.add("cross_data_centre_cost_milliseconds_per_megabyte: must not be below 0");
        }
        if (storeReaders <= 0) {
            faults.add("store_readers: must be above 0");
        }
        if (quotaWindowSeconds < 0) {
            faults.add("quota_window_seconds: must not be below 0");
        }
        if (quotaOverage < 0) {
            faults.add("quota_overage: must not be below 0");
        }
        if (quotaSlack < 0) {
            faults.add("quota_slack: must not be below 0");
        }
        if (retryShare < 0 || retryShare > 1) {
            faults.add("retry_share: must be from 0 to 1");
        }
        return faults;
    }

    /** Returns the processor capacity of the daemon's VM, in cores. */
    public double capacity() {
        return processorShare * processorCores;
    }

    /** Returns what may run beyond organisations' quotas. */
    public QuotaBounds quotaBounds() {
        return new QuotaBounds(
                Duration.ofMillis(Math.round(quotaWindowSeconds * MILLISECONDS_PER_SECOND)),
                quotaOverage,
                quotaSlack);
    }

    private static void checkText(List<String> faults, String key, String value) {
        if (value == null || value.isBlank()) {
            faults.add(key + ": missing");
        }
    }

    private static void checkAddress(List<String> faults, String key, String value) {
        if (value == null || value.isBlank()) {
            faults.add(key + ": missing");
            return;
        }
        int colon = value.lastIndexOf(':');
        boolean valid = colon > 0 && value.substring(colon + 1).matches("\\d{1,5}");
        if (!valid || Integer.parseInt(value.substring(colon + 1)) > LARGEST_PORT) {
            faults.add(key + ": '" + value + "' is not an IP address and a port");
        }
    }
}
