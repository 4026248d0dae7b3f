package org.bergamothoist.core.route;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * An immutable version of the complete routing configuration. Newer versions have higher numbers.
 */
public final class RouteConfiguration {

    private final long version;
    private final List<Route> routes;
    private final Map<String, List<Route>> routesByHost;
    private final Map<String, ServiceDefinition> services;
    private final Map<String, Organisation> organisationsByKey;
    private final List<Organisation> limitedOrganisations;
    private final boolean keysRequired;
    private final CacheIsolation cacheIsolation;
    private final CallerLimits limits;

    /**
     * Creates a configuration.
     *
     * @param organisations organisations with caller keys; if the configuration says nothing of
     *     organisations, no route requires a key. An empty list has no key that is accepted.
     */
    public RouteConfiguration(
            long version,
            List<Route> routes,
            List<ServiceDefinition> services,
            Optional<List<Organisation>> organisations,
            CallerLimits limits) {
        this.version = version;
        this.routes = List.copyOf(routes);
        this.limits = limits;
        this.keysRequired = organisations.isPresent();
        List<Organisation> named = organisations.orElse(List.of());
        this.cacheIsolation = new CacheIsolation(named);
        this.limitedOrganisations =
                named.stream().filter(organisation -> organisation.quota().isPresent()).toList();
        this.routesByHost = groupByHost(routes);
        Map<String, ServiceDefinition> servicesByName = new HashMap<>();
        services.forEach(service -> servicesByName.put(service.name(), service));
        this.services = Map.copyOf(servicesByName);
        Map<String, Organisation> byKey = new HashMap<>();
        named.forEach(
                organisation ->
                        organisation.callerKeys().forEach(key -> byKey.put(key, organisation)));
        this.organisationsByKey = Map.copyOf(byKey);
    }

    private static Map<String, List<Route>> groupByHost(List<Route> routes) {
        Map<String, List<Route>> grouped = new HashMap<>();
        routes.stream()
                .sorted(
                        Comparator.comparingInt((Route route) -> route.pathPrefix().length())
                                .reversed())
                .forEach(
                        route ->
                                grouped.computeIfAbsent(
                                                normaliseHost(route.host()),
                                                host -> new ArrayList<>())
                                        .add(route));
        return grouped;
    }

    private static String normaliseHost(String host) {
        int port = host.lastIndexOf(':');
        String name = port > 0 && host.indexOf(']') < port ? host.substring(0, port) : host;
        return name.toLowerCase(Locale.ROOT);
    }

    public long version() {
        return version;
    }

    public List<Route> routes() {
        return routes;
    }

    public CallerLimits limits() {
        return limits;
    }

    /** Returns which organisations share cached prompt parts. */
    public CacheIsolation cacheIsolation() {
        return cacheIsolation;
    }

    /** Returns whether routes that do not allow anonymous requests require a caller key. */
    public boolean keysRequired() {
        return keysRequired;
    }

    /**
     * Returns the route of a host with the longest path prefix that matches; empty if none does.
     *
     * @param host value of the request's host header; its port, if any, is ignored
     * @param requestTarget path and query as sent by the caller
     */
    public Optional<Route> route(String host, String requestTarget) {
        int query = requestTarget.indexOf('?');
        String path = query < 0 ? requestTarget : requestTarget.substring(0, query);
        return routesByHost.getOrDefault(normaliseHost(host), List.of()).stream()
                .filter(route -> path.startsWith(route.pathPrefix()))
                .findFirst();
    }

    /** Returns the organisation that a caller key belongs to; empty if the key is unknown. */
    public Optional<Organisation> organisation(String callerKey) {
        return Optional.ofNullable(organisationsByKey.get(callerKey));
    }

    /** Returns the organisations that have a quota. */
    public List<Organisation> limitedOrganisations() {
        return limitedOrganisations;
    }

    /** Returns the service with a name; empty if there is none. */
    public Optional<ServiceDefinition> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /** Returns the external KV cache store; empty if there is none. */
    public Optional<CacheStoreDefinition> cacheStore() {
        return services.values().stream()
                .flatMap(service -> service.cacheStore().stream())
                .findFirst();
    }

    /** Returns the services whose targets are model engines. */
    public List<ServiceDefinition> engineServices() {
        return services.values().stream().filter(service -> service.engine().isPresent()).toList();
    }
}
