# Reads service, key, sent_us, end_us and outcome of requests, in the order in
# which they were sent. Prints the longest time in ms for which a slice was not
# served, and the slice. Such a period begins when a request is sent and ends
# with the first answer to it or to a request sent later. If the answered
# request was sent more than MAX_GAP_US after the last failure, the period ends
# with that failure instead, because no request shows that the slice was not
# served in between, and a new period begins with the answered request.
# The variable `keys` names a file with service, key and slice of each known
# key. A key that is not in it counts as a slice of its own, and all files of a
# service count as one slice.
BEGIN {
    MAX_GAP_US = 500000
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

function note(slice, waited_us) {
    if (waited_us > longest_us) {
        longest_us = waited_us
        longest = slice
    }
}

# Ends the period in which a slice is not served, with an answer or at the end
# of the input.
function end_wait(slice,    from_us) {
    if (answered_until[slice] == 0) {
        note(slice, failed_until[slice] - since[slice])
        delete since[slice]
        return
    }
    from_us = since[slice]
    if (failed_until[slice] > 0 &&
        answer_sent[slice] - failed_until[slice] > MAX_GAP_US) {
        note(slice, failed_until[slice] - from_us)
        from_us = answer_sent[slice]
    }
    note(slice, answered_until[slice] - from_us)
    delete since[slice]
}

{
    slice = name_of($1, $2)
    if ((slice in since) && answered_until[slice] > 0 &&
        answered_until[slice] <= $3) {
        end_wait(slice)
    }
    if (!(slice in since)) {
        since[slice] = $3
        answered_until[slice] = 0
        failed_until[slice] = 0
    }
    if ($5 != "answered") {
        if ($4 > failed_until[slice] &&
            (answered_until[slice] == 0 || $3 < answered_until[slice])) {
            failed_until[slice] = $4
        }
    }
    else if (answered_until[slice] == 0 || $4 < answered_until[slice]) {
        answered_until[slice] = $4
        answer_sent[slice] = $3
    }
}

END {
    for (slice in since) {
        end_wait(slice)
    }
    printf "%d\t%s\n", longest_us / 1000, longest
}
