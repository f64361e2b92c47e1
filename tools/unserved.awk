# Reads service, key, sent_us, end_us and outcome of requests, in the order in
# which they were sent. Prints the longest time in ms for which a slice was not
# served, and the slice. Such a period begins when a request is sent and ends
# with the first answer to it or to a request sent later. If the answered
# request was sent more than MAX_GAP_US after the last failure, the period ends
# with that failure instead, because no request shows that the slice was not
# served in between, and a new period begins with the answered request.
# The variable `keys` names a file with service, key and slice of each known
# key. A key that is not in it counts as a slice of its own. A service without
# any key in it, such as one of files, counts as one slice.
BEGIN {
    MAX_GAP_US = 500000
    while ((getline line < keys) > 0) {
        split(line, field, "\t")
        slice_of[field[1], field[2]] = field[3]
        keyed[field[1]] = 1
    }
}

function slice_name(service, key) {
    if (!(service in keyed)) {
        return service
    }
    return ((service, key) in slice_of) ? slice_of[service, key] \
                                        : service "/" key
}

function update_longest(slice, period_us) {
    if (period_us > longest_us) {
        longest_us = period_us
        longest = slice
    }
}

# Ends the period in which a slice is not served: with its first answer, or
# with its last failure if it has no answer at the end of the input.
function end_period(slice,    from_us) {
    if (answer_end[slice] == 0) {
        update_longest(slice, failure_end[slice] - period_start[slice])
        delete period_start[slice]
        return
    }
    from_us = period_start[slice]
    if (failure_end[slice] > 0 &&
        answer_sent[slice] - failure_end[slice] > MAX_GAP_US) {
        update_longest(slice, failure_end[slice] - from_us)
        from_us = answer_sent[slice]
    }
    update_longest(slice, answer_end[slice] - from_us)
    delete period_start[slice]
}

{
    slice = slice_name($1, $2)
    if ((slice in period_start) && answer_end[slice] > 0 &&
        answer_end[slice] <= $3) {
        end_period(slice)
    }
    if (!(slice in period_start)) {
        period_start[slice] = $3
        answer_end[slice] = 0
        failure_end[slice] = 0
    }
    if ($5 != "answered") {
        if ($4 > failure_end[slice] &&
            (answer_end[slice] == 0 || $3 < answer_end[slice])) {
            failure_end[slice] = $4
        }
    }
    else if (answer_end[slice] == 0 || $4 < answer_end[slice]) {
        answer_end[slice] = $4
        answer_sent[slice] = $3
    }
}

END {
    for (slice in period_start) {
        end_period(slice)
    }
    printf "%d\t%s\n", longest_us / 1000, longest
}
