#include "place/cell_name.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/error.h"

#define MAX_DIGITS 2

/* Writes the name of a domain's cell. `number` must be below
 * RsCellName_NUMBER_LIMIT. Returns 0, or RsError_PLACE when the name does not
 * fit. */
int
RsCellName_Format(const char *domain, uint32_t number,
                  char name[RsModel_NAME_BYTES])
{
    assert(number < RsCellName_NUMBER_LIMIT);
    int written = snprintf(name, RsModel_NAME_BYTES, "%s/%u", domain, number);
    return written < RsModel_NAME_BYTES ? 0 : RsError_PLACE;
}

/* Splits the name of a cell into its domain and number. Returns 0, or
 * RsError_PLACE unless the name is a domain of 1 to RsModel_NAME_BYTES - 1
 * characters, a slash and one or two digits without a leading zero. */
int
RsCellName_Parse(const char *name, char domain[RsModel_NAME_BYTES],
                 uint32_t *number)
{
    const char *slash = strchr(name, '/');
    if (slash == NULL || slash == name || slash - name >= RsModel_NAME_BYTES) {
        return RsError_PLACE;
    }
    const char *digits = slash + 1;
    size_t digit_count = strspn(digits, "0123456789");
    bool padded = digits[0] == '0' && digit_count > 1;
    if (digit_count == 0 || digit_count > MAX_DIGITS || padded ||
        digits[digit_count] != '\0') {
        return RsError_PLACE;
    }
    size_t domain_bytes = (size_t)(slash - name);
    memcpy(domain, name, domain_bytes);
    domain[domain_bytes] = '\0';
    *number = (uint32_t)strtoul(digits, NULL, 10);
    return 0;
}
