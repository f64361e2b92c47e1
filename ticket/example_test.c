/* Checks that the settings, lists of VMs and tickets under examples/ are valid
 * and consistent with each other. */

#include <CUnit/Basic.h>
#include <glib.h>
#include <string.h>

#include "settings/settings.h"
#include "ticket/ticket.h"

#define TICKET_COUNT 3

struct service_size {
    const char *service;
    size_t targets;
    uint32_t connections;
};

struct example {
    const char *name;
    uint32_t first_port;
    struct service_size sizes[3];
};

/* The sizes of the installations, as given by their operators. */
static const struct example examples[] = {
    {"lista-serrana",
     21000,
     {{"listas", 16, 110}, {"reservas", 9, 110}, {"guias", 6, 110}}},
    {"bochas",
     23000,
     {{"sorteo", 20, 130}, {"inscripcion", 10, 130}, {"archivo", 6, 130}}},
};

static json_t *
load_vms(const struct example *example)
{
    char *path = g_strdup_printf("../examples/%s/vms.json", example->name);
    json_t *file = json_load_file(path, 0, NULL);
    CU_ASSERT_PTR_NOT_NULL_FATAL(file);
    json_t *vms = json_incref(json_object_get(file, "vms"));
    json_decref(file);
    g_free(path);
    return vms;
}

static const char *
get_text(const json_t *vm, const char *field)
{
    const char *text = json_string_value(json_object_get(vm, field));
    return text != NULL ? text : "";
}

static uint32_t
get_port(const json_t *vm, const char *field)
{
    return (uint32_t)json_integer_value(json_object_get(vm, field));
}

static void
check_entry_process(const struct example *example, const json_t *vm)
{
    char *path = g_strdup_printf("../examples/%s/settings/%s.yaml",
                                 example->name, get_text(vm, "id"));
    struct rs_settings *settings = NULL;
    struct rs_settings_fault fault;
    CU_ASSERT_EQUAL_FATAL(RsSettings_Load(path, &settings, &fault), 0);
    CU_ASSERT_STRING_EQUAL(settings->name, get_text(vm, "id"));
    CU_ASSERT_STRING_EQUAL(settings->domain, get_text(vm, "domain"));
    CU_ASSERT_STRING_EQUAL(settings->peers.address, get_text(vm, "host"));
    CU_ASSERT_EQUAL(settings->callers.port, get_port(vm, "callers_port"));
    CU_ASSERT_EQUAL(settings->admin.port, get_port(vm, "admin_port"));
    CU_ASSERT_EQUAL(settings->peers.control_port,
                    get_port(vm, "control_port"));
    CU_ASSERT_EQUAL(settings->peers.relay_port, get_port(vm, "relay_port"));
    CU_ASSERT_EQUAL(settings->platform.port, example->first_port + 900);
    RsSettings_Free(settings);
    g_free(path);
}

static void
check_vms(const struct example *example)
{
    json_t *vms = load_vms(example);
    GHashTable *ports = g_hash_table_new(NULL, NULL);
    size_t entries = 0;
    size_t index = 0;
    json_t *vm = NULL;
    json_array_foreach(vms, index, vm)
    {
        if (strcmp(get_text(vm, "kind"), "entry") == 0) {
            check_entry_process(example, vm);
            entries++;
        }
        const char *field = NULL;
        json_t *value = NULL;
        json_object_foreach(vm, field, value)
        {
            if (g_str_has_suffix(field, "port")) {
                CU_ASSERT(g_hash_table_add(
                    ports, GUINT_TO_POINTER(get_port(vm, field))));
            }
        }
    }
    CU_ASSERT(entries >= 9 && entries <= 11);
    g_hash_table_unref(ports);
    json_decref(vms);
}

static void
test_settings_agree_with_the_list_of_vms(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(examples); i++) {
        check_vms(&examples[i]);
    }
}

static struct rs_ticket *
load_ticket(const struct example *example, int number)
{
    char *path = g_strdup_printf("../examples/%s/tickets/%04d.json",
                                 example->name, number);
    char *text = NULL;
    gsize size = 0;
    struct rs_ticket *ticket = NULL;
    struct rs_faults faults = {0};
    CU_ASSERT_FATAL(g_file_get_contents(path, &text, &size, NULL));
    CU_ASSERT_EQUAL_FATAL(RsTicket_Parse(text, size, &ticket, &faults), 0);
    g_free(text);
    g_free(path);
    return ticket;
}

/* Returns the configuration that results from the first ticket. */
static struct rs_config *
build_first_config(const struct rs_ticket *ticket)
{
    json_t *body = RsTicket_CommitBody(ticket, 0);
    const json_t *puts = json_object_get(body, "put");
    size_t count = json_array_size(puts);
    struct rs_config_row *rows = g_new0(struct rs_config_row, count);
    for (size_t i = 0; i < count; i++) {
        const json_t *put = json_array_get(puts, i);
        rows[i] = (struct rs_config_row){
            json_string_value(json_object_get(put, "key")), 1,
            json_object_get(put, "value")};
    }
    struct rs_config *config = RsConfig_Build(rows, count);
    g_free(rows);
    json_decref(body);
    return config;
}

/* Checks that each VM of the service is a target of one of the service's
 * places, in the domain of the VM. Returns the number of targets found. */
static size_t
check_targets(const struct rs_config *config, const json_t *vms,
              const char *service)
{
    size_t count = 0;
    size_t index = 0;
    json_t *vm = NULL;
    json_array_foreach(vms, index, vm)
    {
        if (strcmp(get_text(vm, "service"), service) != 0) {
            continue;
        }
        const struct rs_model_place *place =
            RsConfig_PlaceOfTarget(config, get_text(vm, "id"));
        if (place == NULL) {
            CU_FAIL("no place lists this target");
            continue;
        }
        CU_ASSERT_STRING_EQUAL(place->service, service);
        CU_ASSERT_STRING_EQUAL(place->domain, get_text(vm, "domain"));
        count++;
    }
    return count;
}

static void
check_services(const struct example *example, const struct rs_config *config)
{
    json_t *vms = load_vms(example);
    for (size_t i = 0; i < G_N_ELEMENTS(example->sizes); i++) {
        const struct service_size *size = &example->sizes[i];
        const struct rs_model_service *service =
            RsConfig_Service(config, size->service);
        CU_ASSERT_PTR_NOT_NULL_FATAL(service);
        CU_ASSERT_EQUAL(service->slots, 2);
        CU_ASSERT_EQUAL(service->connections, size->connections);
        CU_ASSERT_EQUAL(check_targets(config, vms, size->service),
                        size->targets);
        const struct rs_model_rule *rule =
            RsConfig_RuleOfKey(config, size->service, "k", 1);
        CU_ASSERT_EQUAL(rule != NULL, service->keyed);
    }
    json_decref(vms);
}

static void
check_tickets(const struct example *example)
{
    struct rs_config *empty = RsConfig_Build(NULL, 0);
    struct rs_faults faults = {0};
    struct rs_ticket *first = load_ticket(example, 1);
    CU_ASSERT_EQUAL(RsTicket_Validate(first, empty, &faults), 0);
    struct rs_config *config = build_first_config(first);
    CU_ASSERT_EQUAL(RsConfig_InvalidRowCount(config), 0);
    check_services(example, config);
    for (int number = 2; number <= TICKET_COUNT; number++) {
        struct rs_ticket *ticket = load_ticket(example, number);
        CU_ASSERT_EQUAL(ticket->number, (uint64_t)number);
        CU_ASSERT_EQUAL(RsTicket_Validate(ticket, config, &faults), 0);
        RsTicket_Free(ticket);
    }
    RsConfig_Unref(config);
    RsTicket_Free(first);
    RsConfig_Unref(empty);
}

static void
test_tickets_are_valid_and_have_the_sizes(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(examples); i++) {
        check_tickets(&examples[i]);
    }
}

int
main(void)
{
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("example", NULL, NULL);
    CU_ADD_TEST(suite, test_settings_agree_with_the_list_of_vms);
    CU_ADD_TEST(suite, test_tickets_are_valid_and_have_the_sizes);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? 0 : 1;
}
