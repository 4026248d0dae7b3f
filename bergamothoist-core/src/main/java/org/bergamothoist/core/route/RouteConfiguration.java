package org.bergamothoist.core.route;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** One version of the operators' configuration, in full. Versions only rise. */
public final class RouteConfiguration {

    private final long version;
    private final List<Route> routes;
    private final Map<String, List<Route>> routesByHost;
    private final Map<String, ServiceDefinition> services;
    private final Map<String, Organisation> organisationsByKey;
    private final boolean keysRequired;
    private final CallerLimits limits;

    /**
     * Creates a configuration.
     *
     * @param organisations empty if callers need no keys
     */
    public RouteConfiguration(
            long version,
            List<Route> routes,
            List<ServiceDefinition> services,
            List<Organisation> organisations,
            CallerLimits limits) {
        this.version = version;
        this.routes = List.copyOf(routes);
        this.limits = limits;
        this.keysRequired = !organisations.isEmpty();
        this.routesByHost = byHost(routes);
        Map<String, ServiceDefinition> named = new HashMap<>();
        services.forEach(service -> named.put(service.name(), service));
        this.services = Map.copyOf(named);
        Map<String, Organisation> byKey = new HashMap<>();
        organisations.forEach(
                organisation ->
                        organisation.callerKeys().forEach(key -> byKey.put(key, organisation)));
        this.organisationsByKey = Map.copyOf(byKey);
    }

    private static Map<String, List<Route>> byHost(List<Route> routes) {
        Map<String, List<Route>> grouped = new HashMap<>();
        routes.stream()
                .sorted(
                        Comparator.comparingInt((Route route) -> route.pathPrefix().length())
                                .reversed())
                .forEach(
                        route ->
                                grouped.computeIfAbsent(
                                                normalisedHost(route.host()),
                                                host -> new ArrayList<>())
                                        .add(route));
        return grouped;
    }

    private static String normalisedHost(String host) {
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

    /** Returns whether requests on routes that are not open need a key. */
    public boolean keysRequired() {
        return keysRequired;
    }

    /**
     * Returns the route with the longest path prefix, or empty.
     *
     * @param host may have a port, which is ignored
     * @param target path and query as sent
     */
    public Optional<Route> route(String host, String target) {
        int query = target.indexOf('?');
        String path = query < 0 ? target : target.substring(0, query);
        return routesByHost.getOrDefault(normalisedHost(host), List.of()).stream()
                .filter(route -> path.startsWith(route.pathPrefix()))
                .findFirst();
    }

    /** Returns the organisation that holds a key, or empty. */
    public Optional<Organisation> organisation(String callerKey) {
        return Optional.ofNullable(organisationsByKey.get(callerKey));
    }

    /** Returns a service, or empty. */
    public Optional<ServiceDefinition> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /** Returns the store of KV cache, or empty. */
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
