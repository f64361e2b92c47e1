#include "rattanctl/print.h"

#include <ctype.h>
#include <glib.h>
#include <inttypes.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#define MAX_COLUMNS 16
#define COLUMN_GAP "  "

/* Prints a value as indented JSON. */
void
RsPrint_Json(FILE *out, const json_t *value)
{
    char *text = json_dumps(value, JSON_INDENT(2) | JSON_ENCODE_ANY);
    fprintf(out, "%s\n", text != NULL ? text : "");
    free(text);
}

/* Returns the text to print for a value: "-" for null or a missing value, a
 * string without quotes, or other values as compact JSON. The caller frees it.
 */
static char *
field_text(const json_t *value)
{
    if (value == NULL || json_is_null(value)) {
        return g_strdup("-");
    }
    if (json_is_string(value)) {
        return g_strdup(json_string_value(value));
    }
    char *text = json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY);
    char *copy = g_strdup(text);
    free(text);
    return copy;
}

static size_t
find_columns(const json_t *rows, const char *columns[MAX_COLUMNS])
{
    size_t count = 0;
    for (size_t i = 0; i < json_array_size(rows); i++) {
        const char *name = NULL;
        json_t *value = NULL;
        json_object_foreach(json_array_get(rows, i), name, value)
        {
            bool known = false;
            for (size_t j = 0; j < count; j++) {
                known = known || strcmp(columns[j], name) == 0;
            }
            if (!known && count < MAX_COLUMNS) {
                columns[count++] = name;
            }
        }
    }
    return count;
}

static size_t
width_of(const json_t *rows, const char *column)
{
    size_t width = strlen(column);
    for (size_t i = 0; i < json_array_size(rows); i++) {
        char *text =
            field_text(json_object_get(json_array_get(rows, i), column));
        width = MAX(width, (size_t)g_utf8_strlen(text, -1));
        g_free(text);
    }
    return width;
}

static void
print_field(FILE *out, const char *text, size_t width, bool last)
{
    fputs(text, out);
    if (last) {
        fputc('\n', out);
        return;
    }
    size_t used = (size_t)g_utf8_strlen(text, -1);
    fprintf(out, "%*s" COLUMN_GAP, (int)(width - used), "");
}

static void
print_heading(FILE *out, const char *column, size_t width, bool last)
{
    char *heading = g_ascii_strup(column, -1);
    print_field(out, heading, width, last);
    g_free(heading);
}

/* Prints an array of objects as a table with aligned columns. `columns` holds
 * the names of the fields to print and ends with NULL. If it is NULL, all
 * fields of the objects are printed. At most MAX_COLUMNS are printed. */
void
RsPrint_Table(FILE *out, const json_t *rows, const char *const *columns)
{
    const char *found[MAX_COLUMNS];
    size_t count = 0;
    size_t widths[MAX_COLUMNS];
    if (columns == NULL) {
        count = find_columns(rows, found);
    }
    else {
        for (; columns[count] != NULL && count < MAX_COLUMNS; count++) {
            found[count] = columns[count];
        }
    }
    for (size_t i = 0; i < count; i++) {
        widths[i] = width_of(rows, found[i]);
        print_heading(out, found[i], widths[i], i + 1 == count);
    }
    for (size_t row = 0; row < json_array_size(rows); row++) {
        for (size_t i = 0; i < count; i++) {
            char *text = field_text(
                json_object_get(json_array_get(rows, row), found[i]));
            print_field(out, text, widths[i], i + 1 == count);
            g_free(text);
        }
    }
}

static bool
is_table(const json_t *value)
{
    return json_is_array(value) && json_is_object(json_array_get(value, 0));
}

/* Prints the fields of an object one per line. Arrays whose first item is an
 * object follow as tables, each with the field's name above it. */
void
RsPrint_Object(FILE *out, const json_t *object)
{
    const char *name = NULL;
    json_t *value = NULL;
    size_t width = 0;
    json_object_foreach((json_t *)object, name, value)
    {
        width = is_table(value) ? width : MAX(width, strlen(name));
    }
    json_object_foreach((json_t *)object, name, value)
    {
        if (!is_table(value)) {
            char *text = field_text(value);
            fprintf(out, "%-*s" COLUMN_GAP "%s\n", (int)width, name, text);
            g_free(text);
        }
    }
    json_object_foreach((json_t *)object, name, value)
    {
        if (is_table(value)) {
            fprintf(out, "\n%s:\n", name);
            RsPrint_Table(out, value, NULL);
        }
    }
}

/* Prints a title and a list of names on one line, or nothing if the list is
 * empty. */
void
RsPrint_Names(FILE *out, const char *title, const json_t *names)
{
    if (json_array_size(names) == 0) {
        return;
    }
    fprintf(out, "%s:", title);
    for (size_t i = 0; i < json_array_size(names); i++) {
        char *text = field_text(json_array_get(names, i));
        fprintf(out, " %s", text);
        g_free(text);
    }
    fputc('\n', out);
}
