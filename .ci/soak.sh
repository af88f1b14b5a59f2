# Functions that run one short soak of real processes; sourced by .ci/run at the root of the repository.

soak_seconds=60
soak_suffix=soak

# The hash of the commit that is checked out, as the repository's files have it; 0 where it is no repository.
soak_commit() {
    local head=0 ref
    [[ ! -f .git/HEAD ]] || head=$(<.git/HEAD)
    ref=${head#ref: }
    if [[ $ref == "$head" ]]; then
        echo "$head"
    elif [[ -f .git/$ref ]]; then
        echo "$(<.git/"$ref")"
    else
        awk -v ref="$ref" '$2 == ref { print $1 }' .git/packed-refs
    fi
}

# A seed from the commit's first digits, so that each commit is soaked by another plan.
soak_seed() {
    local commit
    commit=$(soak_commit)
    echo $((16#${commit:0:7}))
}

# Soaks the commit. A failure ends CI unless its seed is in KNOWN-RED.txt; the other listed seeds are printed.
soak_run() {
    local seed listed status=0
    seed=$(soak_seed)
    echo "ci: soak seed=$seed, $soak_seconds s"
    mvn -B test -pl cli -am -Dtest=SoakRun "-Dsoak.seed=$seed" "-Dsoak.seconds=$soak_seconds" \
        -Dsurefire.failIfNoSpecifiedTests=false "-Dsurefire.reportNameSuffix=$soak_suffix" || status=$?
    if ! grep -qs '<testcase ' cli/target/surefire-reports/TEST-*SoakRun-"$soak_suffix".xml; then
        echo "ci: the soak did not run" >&2
        exit 1
    fi
    while read -r listed; do
        [[ $listed == "soak seed=$seed" ]] || echo "KNOWN-RED $listed: not run on this commit"
    done < <(known_red_names | grep '^soak ')
    soak_judge "$seed" "$status"
}

soak_judge() {
    local seed=$1 status=$2
    if known_red_names | grep -qx "soak seed=$seed"; then
        [[ $status -eq 0 ]] && echo "KNOWN-RED soak seed=$seed: passes now: take it off the list" \
            || echo "KNOWN-RED soak seed=$seed: failed as listed"
    elif [[ $status -ne 0 ]]; then
        echo "ci: soak seed=$seed failed" >&2
        exit 1
    fi
}
