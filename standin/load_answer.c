#include "standin/load_answer.h"

#include <glib.h>
#include <jansson.h>
#include <string.h>

#include "core/id.h"
#include "standin/pattern.h"

#define STATUS_OK 200

static const char *const outcome_names[RsLoad_OUTCOME_COUNT] = {
    "answered", "not-run", "unknown", "broken", "silent", "wrong"};

/* Returns the name of an outcome as written to reports and logs. The text is
 * static. */
const char *
RsLoadAnswer_OutcomeName(enum rs_load_outcome outcome)
{
    return outcome_names[outcome];
}

/* Prepares for the answer to a request. `expected` is copied, but not its
 * texts. */
void
RsLoadAnswer_Init(struct rs_load_answer *answer,
                  const struct rs_load_expected *expected)
{
    memset(answer, 0, sizeof(*answer));
    http_parser_init(&answer->parser, HTTP_RESPONSE);
    answer->parser.data = answer;
    answer->expected = *expected;
    answer->pattern_key = RsId_FromName(expected->key);
    answer->pattern_matches = true;
}

/* Appends to a text and cuts off what doesn't fit. */
static void
append_text(char text[RsLoadAnswer_TEXT_BYTES], const char *data,
            size_t size_bytes)
{
    size_t used = strlen(text);
    size_t copied = MIN(size_bytes, RsLoadAnswer_TEXT_BYTES - 1 - used);
    memcpy(text + used, data, copied);
    text[used + copied] = '\0';
}

static void
copy_header_value(const struct rs_load_answer *answer,
                  char kept[RsLoadAnswer_TEXT_BYTES])
{
    memcpy(kept, answer->value, RsLoadAnswer_TEXT_BYTES);
}

/* Stores the value of the header just parsed if it is the request ID, the
 * outcome or the reason, and clears the header for the next one. */
static void
end_header(struct rs_load_answer *answer)
{
    if (g_ascii_strcasecmp(answer->field, "x-request-id") == 0) {
        copy_header_value(answer, answer->request_id);
    }
    else if (g_ascii_strcasecmp(answer->field, "x-outcome") == 0) {
        copy_header_value(answer, answer->outcome);
    }
    else if (g_ascii_strcasecmp(answer->field, "x-reason") == 0) {
        copy_header_value(answer, answer->reason);
    }
    answer->field[0] = '\0';
    answer->value[0] = '\0';
    answer->reading_value = false;
}

static int
on_header_field(http_parser *parser, const char *data, size_t size_bytes)
{
    struct rs_load_answer *answer = parser->data;
    if (answer->reading_value) {
        end_header(answer);
    }
    append_text(answer->field, data, size_bytes);
    return 0;
}

static int
on_header_value(http_parser *parser, const char *data, size_t size_bytes)
{
    struct rs_load_answer *answer = parser->data;
    answer->reading_value = true;
    append_text(answer->value, data, size_bytes);
    return 0;
}

static int
on_headers_complete(http_parser *parser)
{
    struct rs_load_answer *answer = parser->data;
    end_header(answer);
    answer->status = (int)parser->status_code;
    return 0;
}

static int
on_body(http_parser *parser, const char *data, size_t size_bytes)
{
    struct rs_load_answer *answer = parser->data;
    if (answer->body_bytes < sizeof(answer->body) - 1) {
        size_t free_bytes = sizeof(answer->body) - 1 - answer->body_bytes;
        memcpy(answer->body + answer->body_bytes, data,
               MIN(size_bytes, free_bytes));
    }
    if (answer->expected.is_file && answer->status == STATUS_OK) {
        answer->pattern_matches =
            answer->pattern_matches &&
            RsPattern_Matches(answer->pattern_key, answer->body_bytes,
                              (const uint8_t *)data, size_bytes);
    }
    answer->body_bytes += size_bytes;
    return 0;
}

/* Pauses the parser, so that RsLoadAnswer_Feed() can tell from the number of
 * parsed bytes whether any follow the answer. */
static int
on_message_complete(http_parser *parser)
{
    struct rs_load_answer *answer = parser->data;
    answer->is_complete = true;
    answer->keeps_alive = http_should_keep_alive(parser) != 0;
    http_parser_pause(parser, 1);
    return 0;
}

static const http_parser_settings parser_settings = {
    .on_header_field = on_header_field,
    .on_header_value = on_header_value,
    .on_headers_complete = on_headers_complete,
    .on_body = on_body,
    .on_message_complete = on_message_complete};

/* Parses the next bytes from the connection. */
enum rs_load_feed_result
RsLoadAnswer_Feed(struct rs_load_answer *answer, const char *data,
                  size_t size_bytes)
{
    if (answer->is_complete) {
        return RsLoadAnswer_EXTRA_BYTES;
    }
    size_t parsed = http_parser_execute(&answer->parser, &parser_settings,
                                        data, size_bytes);
    if (answer->is_complete) {
        return parsed < size_bytes ? RsLoadAnswer_EXTRA_BYTES
                                   : RsLoadAnswer_COMPLETE;
    }
    if (HTTP_PARSER_ERRNO(&answer->parser) != HPE_OK) {
        return RsLoadAnswer_INVALID;
    }
    return RsLoadAnswer_INCOMPLETE;
}

static bool
text_is(const json_t *body, const char *name, const char *value)
{
    const char *text = json_string_value(json_object_get(body, name));
    return text != NULL && strcmp(text, value) == 0;
}

/* Returns whether the body has the request ID and key that are expected, or,
 * for a file, isn't empty and matches the key's pattern. */
static bool
body_is_correct(const struct rs_load_answer *answer)
{
    const struct rs_load_expected *expected = &answer->expected;
    if (expected->is_file) {
        return answer->pattern_matches && answer->body_bytes > 0;
    }
    json_t *body = json_loads(answer->body, 0, NULL);
    bool is_correct = text_is(body, "key", expected->key) &&
                      text_is(body, "request_id", expected->request_id);
    json_decref(body);
    return is_correct;
}

/* Returns the outcome for the caller. An answer without a length, which would
 * end with its connection, never counts as complete. */
enum rs_load_outcome
RsLoadAnswer_Classify(const struct rs_load_answer *answer)
{
    if (!answer->is_complete) {
        return RsLoad_BROKEN;
    }
    if (strcmp(answer->request_id, answer->expected.request_id) != 0) {
        return RsLoad_WRONG;
    }
    if (answer->status == STATUS_OK) {
        bool is_done =
            answer->outcome[0] == '\0' || strcmp(answer->outcome, "done") == 0;
        return is_done && body_is_correct(answer) ? RsLoad_ANSWERED
                                                  : RsLoad_WRONG;
    }
    if (strcmp(answer->outcome, "not-run") == 0 ||
        strcmp(answer->outcome, "aborted") == 0) {
        return RsLoad_REFUSED;
    }
    return strcmp(answer->outcome, "unknown") == 0 ? RsLoad_UNKNOWN
                                                   : RsLoad_BROKEN;
}
