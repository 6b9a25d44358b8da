# Checks the results of a soak from three files: requests that back ends ran
# (id, count, time), periods in which a key was revoked (from, to), and answers
# that callers received (id, path, key, time, status, curl's exit code, digest
# of the body). Prints each violation and a line with the counts.
BEGIN { split(whole, list, " "); for (i in list) is_whole[list[i]] = 1 }
FNR == 1 { part++ }
part == 1 && FILENAME ~ /runs$/ { runs[$1] += $2; next }
FILENAME ~ /revoked$/ { from[++gaps] = $1; to[gaps] = $2; next }
FILENAME ~ /sent$/ {
	total++
	status[$5]++
	once = $2 ~ /^\/(once|tale)\//
	if (once && runs[$1] > 1)
		print "ran " runs[$1] " times:", $0
	if ($5 ~ /^(503|429|408|421)$/ && once && runs[$1] > 0)
		print "refused as not run, but ran:", $0
	if ($5 == 200 && $6 == 0 && $2 ~ /^\/(flow|tale)\// && $7 != stream)
		print "stream with a gap or a repeated part:", $0
	if ($5 == 200 && $6 == 0 && $2 ~ /^\/(safe|once)\// && !($7 in is_whole))
		print "answer is not complete:", $0
	if ($5 == 200 && runs[$1] == 0)
		print "answered but never run:", $0
	if ($5 == 404 || ($5 == 401 && $3 == "key-of-a"))
		print "refused, but must be allowed:", $0
	if ($3 == "key-of-b" && runs[$1] > 0)
		for (g = 1; g <= gaps; g++)
			if ($4 > from[g] + revoke_ms && $4 < to[g])
				print "ran with a revoked key:", $0
}
END {
	line = "requests " total
	for (s in status)
		line = line ", " s ": " status[s]
	print line
}
