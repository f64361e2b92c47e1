#include "tests/cluster_files.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#define HOST "127.0.0.1"
#define LAST_PORT 31999
#define SLICES 12
#define TIMEOUT_MS 2000
#define MAX_RUN_MS 500
#define CONNECTIONS 16

static bool
port_is_free(uint16_t port)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons(port)};
    inet_pton(AF_INET, HOST, &address.sin_addr);
    int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    int reuse = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof(reuse));
    int result =
        bind(descriptor, (struct sockaddr *)&address, sizeof(address));
    close(descriptor);
    return result == 0;
}

/* Returns the cluster's next port that no process listens on, and doesn't
 * return it again. */
uint16_t
RsClusterFiles_TakeFreePort(struct rs_cluster *cluster)
{
    while (!port_is_free(cluster->next_port)) {
        cluster->next_port++;
        g_assert(cluster->next_port <= LAST_PORT);
    }
    return cluster->next_port++;
}

/* Returns the settings of an entry process as YAML; freed with g_free(). */
char *
RsClusterFiles_MakeSettings(const struct rs_cluster *cluster,
                            const struct rs_cluster_entry *entry)
{
    uint16_t platform_port = cluster->options.has_links
                                 ? cluster->platform_link_ports[entry->domain]
                                 : cluster->platform_port;
    return g_strdup_printf(
        "name: %s\nregion: sul\ndomain: dom-%u\n"
        "callers: {address: " HOST ", port: %u}\n"
        "admin: {address: " HOST ", port: %u}\n"
        "peers: {address: " HOST ", control_port: %u, relay_port: %u}\n"
        "platform: {address: " HOST ", port: %u}\n",
        entry->process.name, entry->domain, entry->callers_port,
        entry->admin_port, entry->control_port, entry->relay_port,
        platform_port);
}

/* Appends to `pairs` a line that makes the network stand-in forward a new
 * port, which processes of domain `from` use, to `destination_port` in domain
 * `to`. Returns the new port. */
static uint16_t
add_link(struct rs_cluster *cluster, uint32_t from, uint32_t to,
         uint16_t destination_port, GString *pairs)
{
    uint16_t port = RsClusterFiles_TakeFreePort(cluster);
    g_string_append_printf(pairs, "%u " HOST ":%u dom-%u dom-%u\n", port,
                           destination_port, from, to);
    return port;
}

/* Returns an entry process's VM as the platform lists it; the caller owns it.
 * With links, the processes of each other domain get ports of their own for
 * this VM, which lead through the network stand-in. The lines for these ports
 * are appended to `pairs`. */
json_t *
RsClusterFiles_MakeEntryVm(struct rs_cluster *cluster,
                           const struct rs_cluster_entry *entry,
                           GString *pairs)
{
    char *domain = g_strdup_printf("dom-%u", entry->domain);
    json_t *vm =
        json_pack("{s:s,s:s,s:s,s:s,s:s,s:i,s:i}", "id", entry->process.name,
                  "kind", "entry", "domain", domain, "state", "live", "host",
                  HOST, "control_port", (int)entry->control_port, "relay_port",
                  (int)entry->relay_port);
    json_t *from = json_object();
    for (uint32_t i = 0;
         i < cluster->options.domains && cluster->options.has_links; i++) {
        if (i != entry->domain) {
            uint16_t control = add_link(cluster, i, entry->domain,
                                        entry->control_port, pairs);
            uint16_t relay =
                add_link(cluster, i, entry->domain, entry->relay_port, pairs);
            char *source_domain = g_strdup_printf("dom-%u", i);
            json_object_set_new(from, source_domain,
                                json_pack("{s:i,s:i}", "control_port",
                                          (int)control, "relay_port",
                                          (int)relay));
            g_free(source_domain);
        }
    }
    json_object_set_new(vm, "from", from);
    g_free(domain);
    return vm;
}

/* Returns a target's VM as the platform lists it; the caller owns it. */
json_t *
RsClusterFiles_MakeTargetVm(const struct rs_cluster_target *target,
                            const char *state)
{
    char *domain = g_strdup_printf("dom-%u", target->domain);
    json_t *vm = json_pack(
        "{s:s,s:s,s:s,s:s,s:s,s:i,s:s}", "id", target->process.name, "kind",
        "target", "domain", domain, "state", state, "host", HOST, "port",
        (int)target->port, "service",
        target->has_files ? RsCluster_FILE_SERVICE : RsCluster_KEYED_SERVICE);
    g_free(domain);
    return vm;
}

static json_t *
make_object_json(const char *kind, const char *name, json_t *value)
{
    return json_pack("{s:s,s:s,s:o}", "kind", kind, "name", name, "value",
                     value);
}

static json_t *
make_service_json(const struct rs_cluster *cluster, bool keyed)
{
    uint32_t cold_ms = cluster->options.cold_ms;
    json_t *service = json_pack(
        "{s:b,s:i,s:i,s:i,s:i,s:i,s:i,s:s,s:[s,s]}", "keyed", keyed, "slots",
        2, "connections", CONNECTIONS, "timeout_ms", TIMEOUT_MS, "max_run_ms",
        MAX_RUN_MS, "window", 2, "cold_ms", cold_ms, "cut_off", "keep-serving",
        "repeatable", "GET", "HEAD");
    return make_object_json(
        "service", keyed ? RsCluster_KEYED_SERVICE : RsCluster_FILE_SERVICE,
        service);
}

static json_t *
make_place_json(const struct rs_cluster *cluster, uint32_t domain, bool files)
{
    json_t *targets = json_array();
    char *domain_name = g_strdup_printf("dom-%u", domain);
    char *name = g_strdup_printf("%s-%u", files ? "files" : "keys", domain);
    for (uint32_t i = 0; i < cluster->target_count; i++) {
        const struct rs_cluster_target *target = &cluster->targets[i];
        if (target->domain == domain && target->has_files == files) {
            json_array_append_new(
                targets,
                json_pack("{s:s,s:b}", "name", target->process.name,
                          "checks_fences",
                          !files && !cluster->options.ignores_fences));
        }
    }
    json_t *place =
        json_pack("{s:s,s:s,s:o}", "service",
                  files ? RsCluster_FILE_SERVICE : RsCluster_KEYED_SERVICE,
                  "domain", domain_name, "targets", targets);
    json_t *object = make_object_json("place", name, place);
    g_free(name);
    g_free(domain_name);
    return object;
}

static json_t *
make_rule_json(const struct rs_cluster *cluster)
{
    json_t *places = json_array();
    for (uint32_t i = 0; i < cluster->options.domains; i++) {
        char *name = g_strdup_printf("keys-%u", i);
        json_array_append_new(places, json_string(name));
        g_free(name);
    }
    return make_object_json("rule", "keys",
                            json_pack("{s:s,s:s,s:i,s:o}", "service",
                                      RsCluster_KEYED_SERVICE, "prefix", "",
                                      "slices", SLICES, "places", places));
}

/* Returns the JSON of ticket 1, which holds all domains, services and places
 * of the deployment and its rule; freed with free(). */
char *
RsClusterFiles_MakeFirstTicket(const struct rs_cluster *cluster)
{
    json_t *objects = json_array();
    for (uint32_t i = 0; i < cluster->options.domains; i++) {
        char *name = g_strdup_printf("dom-%u", i);
        json_array_append_new(
            objects, make_object_json("domain", name,
                                      json_pack("{s:s,s:s}", "region", "sul",
                                                "state", "in")));
        json_array_append_new(objects, make_place_json(cluster, i, false));
        g_free(name);
    }
    json_array_append_new(objects, make_service_json(cluster, true));
    json_array_append_new(objects, make_rule_json(cluster));
    if (cluster->options.has_files) {
        json_array_append_new(objects, make_service_json(cluster, false));
        json_array_append_new(objects, make_place_json(cluster, 0, true));
    }
    json_t *ticket = json_pack("{s:i,s:s,s:s,s:o}", "number", 1, "author",
                               "ana", "note", "all", "objects", objects);
    char *text = json_dumps(ticket, JSON_COMPACT);
    json_decref(ticket);
    return text;
}
