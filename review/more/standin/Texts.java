/** The texts that operators and clients send. */
final class Texts {

    private Texts() {}

    static String route(String name, String prefix, String type, String service, String more) {
        return "{\"name\":\"" + name + "\",\"host\":\"a.example\",\"path_prefix\":\"" + prefix
                + "\",\"type\":\"" + type + "\",\"service\":\"" + service + "\",\"public\":false,"
                + more + "}";
    }

    static final String STREAM =
            "\"timeout_ms\":6000,\"target_latency_ms\":600,\"priority\":1,\"attempts\":1,"
                    + "\"sticky\":true,\"resumable\":false,\"gap_target_ms\":400";

    static final String PLAIN =
            "\"timeout_ms\":800,\"target_latency_ms\":150,\"priority\":2,\"attempts\":1,"
                    + "\"sticky\":false,\"resumable\":false";

    static String engineService(String name, String models) {
        return "{\"name\":\"" + name + "\",\"health_path\":\"/health\",\"max_connections\":610,"
                + "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"batch_slots\":128,"
                + "\"kv_capacity_tokens\":139035,\"token_kv_bytes\":35136,\"link_mbps\":180000.0,"
                + "\"moves\":true,\"backups\":true,\"stride\":4,\"max_concurrency\":12,"
                + "\"pin_ms\":4000.0,\"hold_ms\":2000.0,\"handle_s\":5.0,\"models\":" + models
                + "}}";
    }

    static String plainService(String name) {
        return "{\"name\":\"" + name + "\",\"health_path\":\"/health\",\"max_connections\":96,"
                + "\"protocol\":\"h1\",\"tls\":false}";
    }

    static String tenant(String name, String key, boolean isolated) {
        return "{\"name\":\"" + name + "\",\"api_keys\":[\"" + key
                + "\"],\"priority\":1,\"isolated\":" + isolated + "}";
    }

    static String configuration(int version, String routes, String services, String tenants) {
        return "{\"version\":" + version + ",\"routes\":[" + routes + "],\"services\":[" + services
                + "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
                + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[" + tenants
                + "]}";
    }

    /** A request for a stream without a body. */
    static String stream(String path, String id, String key, String model, String parts) {
        return "POST " + path + " HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: " + id
                + "\r\nX-Model: " + model + "\r\nX-Token-Usage: 1460,80\r\nX-Prompt-Prefix: " + parts
                + "\r\nX-Deadline-Ms: 6000\r\nX-Api-Key: " + key + "\r\nContent-Length: 0\r\n\r\n";
    }

    /** The head of a request to a plain service. */
    static String plain(String method, String path, String id, String key, int bodyBytes) {
        return method + " " + path + " HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: " + id
                + "\r\nX-Deadline-Ms: 1500\r\nX-Api-Key: " + key + "\r\nContent-Length: "
                + bodyBytes + "\r\n\r\n";
    }
}
