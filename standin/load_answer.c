#include "standin/load_answer.h"

#include <glib.h>
#include <jansson.h>
#include <string.h>

#include "core/id.h"
#include "standin/pattern.h"

#define STATUS_OK 200

static const char *const outcome_names[RsLoad_OUTCOMES] = {
    "answered", "not-run", "unknown", "broken", "silent", "wrong"};

/* Returns an outcome's name in reports and logs. */
const char *
RsLoadAnswer_OutcomeName(enum rs_load_outcome outcome)
{
    return outcome_names[outcome];
}

/* Prepares for the answer to a question. */
void
RsLoadAnswer_Init(struct rs_load_answer *answer,
                  const struct rs_load_question *question)
{
    memset(answer, 0, sizeof(*answer));
    http_parser_init(&answer->parser, HTTP_RESPONSE);
    answer->parser.data = answer;
    answer->question = *question;
    answer->pattern_key = RsId_FromName(question->key);
    answer->pattern_matches = true;
}

static void
append_text(char text[RsLoadAnswer_TEXT_BYTES], const char *data,
            size_t size_bytes)
{
    size_t used = strlen(text);
    size_t taken = MIN(size_bytes, RsLoadAnswer_TEXT_BYTES - 1 - used);
    memcpy(text + used, data, taken);
    text[used + taken] = '\0';
}

static void
keep_value(const struct rs_load_answer *answer,
           char kept[RsLoadAnswer_TEXT_BYTES])
{
    memcpy(kept, answer->value, RsLoadAnswer_TEXT_BYTES);
}

static void
end_header(struct rs_load_answer *answer)
{
    if (g_ascii_strcasecmp(answer->field, "x-request-id") == 0) {
        keep_value(answer, answer->request_id);
    }
    else if (g_ascii_strcasecmp(answer->field, "x-outcome") == 0) {
        keep_value(answer, answer->outcome);
    }
    else if (g_ascii_strcasecmp(answer->field, "x-reason") == 0) {
        keep_value(answer, answer->reason);
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
    if (answer->question.is_file && answer->status == STATUS_OK) {
        answer->pattern_matches =
            answer->pattern_matches &&
            RsPattern_Matches(answer->pattern_key, answer->body_bytes,
                              (const uint8_t *)data, size_bytes);
    }
    answer->body_bytes += size_bytes;
    return 0;
}

/* Pauses, so that bytes beyond the answer are told from it. */
static int
on_message_complete(http_parser *parser)
{
    struct rs_load_answer *answer = parser->data;
    answer->is_whole = true;
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

/* Takes the next bytes of the connection. */
enum rs_load_feed
RsLoadAnswer_Feed(struct rs_load_answer *answer, const char *data,
                  size_t size_bytes)
{
    if (answer->is_whole) {
        return RsLoadAnswer_LEFTOVER;
    }
    size_t parsed = http_parser_execute(&answer->parser, &parser_settings,
                                        data, size_bytes);
    if (answer->is_whole) {
        return parsed < size_bytes ? RsLoadAnswer_LEFTOVER
                                   : RsLoadAnswer_WHOLE;
    }
    if (HTTP_PARSER_ERRNO(&answer->parser) != HPE_OK) {
        return RsLoadAnswer_BAD;
    }
    return RsLoadAnswer_MORE;
}

static bool
text_is(const json_t *body, const char *name, const char *expected)
{
    const char *text = json_string_value(json_object_get(body, name));
    return text != NULL && strcmp(text, expected) == 0;
}

/* Tells whether the body is that of the question's own request and key. */
static bool
body_is_right(const struct rs_load_answer *answer)
{
    const struct rs_load_question *question = &answer->question;
    if (question->is_file) {
        return answer->pattern_matches && answer->body_bytes > 0;
    }
    json_t *body = json_loads(answer->body, 0, NULL);
    bool right = text_is(body, "key", question->key) &&
                 text_is(body, "request_id", question->request_id);
    json_decref(body);
    return right;
}

/* Tells what the caller got. An answer that only the connection's end would
 * end is never whole. */
enum rs_load_outcome
RsLoadAnswer_Classify(const struct rs_load_answer *answer)
{
    if (!answer->is_whole) {
        return RsLoad_BROKEN;
    }
    if (strcmp(answer->request_id, answer->question.request_id) != 0) {
        return RsLoad_WRONG;
    }
    if (answer->status == STATUS_OK) {
        bool is_done =
            answer->outcome[0] == '\0' || strcmp(answer->outcome, "done") == 0;
        return is_done && body_is_right(answer) ? RsLoad_ANSWERED
                                                : RsLoad_WRONG;
    }
    if (strcmp(answer->outcome, "not-run") == 0 ||
        strcmp(answer->outcome, "aborted") == 0) {
        return RsLoad_REFUSED;
    }
    return strcmp(answer->outcome, "unknown") == 0 ? RsLoad_UNKNOWN
                                                   : RsLoad_BROKEN;
}
