# Reads service, key, sent_us, end_us and outcome of requests, in the order in
# which they were sent. Prints the longest time, in ms, from a request until
# one for the same slice that was sent no earlier was answered, and the slice.
# Keys that no target ran are their own slices; files count as one slice.
BEGIN {
    while ((getline line < keys) > 0) {
        split(line, field, "\t")
        slice_of[field[1], field[2]] = field[3]
        keyed[field[1]] = 1
    }
}

function name_of(service, key) {
    if (!(service in keyed)) {
        return service
    }
    return ((service, key) in slice_of) ? slice_of[service, key] \
                                        : service "/" key
}

# Ends the wait of a slice when the answer came.
function end_wait(slice, at_us,    waited_us) {
    waited_us = at_us - since[slice]
    if (waited_us > longest_us) {
        longest_us = waited_us
        longest = slice
    }
}

{
    slice = name_of($1, $2)
    last_us = $4 > last_us ? $4 : last_us
    if (!(slice in since) || answered_until[slice] <= $3) {
        if ((slice in since) && answered_until[slice] > 0) {
            end_wait(slice, answered_until[slice])
            delete since[slice]
        }
        if (!(slice in since)) {
            since[slice] = $3
            answered_until[slice] = 0
        }
    }
    if ($5 == "answered" &&
        (answered_until[slice] == 0 || $4 < answered_until[slice])) {
        answered_until[slice] = $4
    }
}

END {
    for (slice in since) {
        end_wait(slice, answered_until[slice] > 0 ? answered_until[slice] \
                                                  : last_us)
    }
    printf "%d\t%s\n", longest_us / 1000, longest
}
