package dewplank.register;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Records the observations of one simulated history and checks that a single register could have produced them. */
final class HistoryChecker {
    private final Map<Long, RegisterValue> chosenByRevision = new HashMap<>();
    private final List<Integer> chain = new ArrayList<>();
    private final Set<Integer> applied = new HashSet<>();
    private final Set<Integer> rejected = new HashSet<>();
    private long newestRevision;
    private int confirmed;

    /** The minimum revision that a request started now has to observe. */
    long minRevision() {
        return newestRevision;
    }

    int confirmed() {
        return confirmed;
    }

    void check(boolean isSatisfied, String rule) {
        if (!isSatisfied) {
            throw new AssertionError(rule);
        }
    }

    /** Records a chosen value. There is one value for each revision, and all values form one chain of changes. */
    void observeChosen(RegisterValue value) {
        RegisterValue other = chosenByRevision.putIfAbsent(value.revision(), value);
        check(other == null || other.equals(value), "two values have the same revision");
        List<Integer> versions = VersionHistory.read(value.payload());
        check(new HashSet<>(versions).size() == versions.size(), "a change was applied twice");
        int common = Math.min(versions.size(), chain.size());
        check(versions.subList(0, common).equals(chain.subList(0, common)), "the changes form two chains");
        for (int index = common; index < versions.size(); index++) {
            chain.add(versions.get(index));
        }
    }

    /** Records the confirmation of a request that started when {@code minRevision} was the newest revision. */
    void observeConfirmed(RegisterValue value, long minRevision) {
        observeChosen(value);
        confirmed++;
        check(value.revision() >= minRevision, "the revision decreased: " + value.revision() + " after " + minRevision);
        newestRevision = Math.max(newestRevision, value.revision());
    }

    void observeChangeResult(int version, RegisterValue value, RequestResult<String> result) {
        if (result.equals(new RequestResult.OfChange<>(VersionHistory.APPLIED))) {
            applied.add(version);
            check(VersionHistory.read(value.payload()).contains(version), "an applied change is not in the value");
        } else {
            rejected.add(version);
        }
    }

    /** Checks the complete history; called after the final read. */
    void checkEnd() {
        check(chain.containsAll(applied), "an applied change is lost");
        for (Integer version : rejected) {
            check(!chain.contains(version), "a rejected change is in the value");
        }
    }
}
