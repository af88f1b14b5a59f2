package dewplank.register;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** What was observed of the register in one simulated history, and whether one register could have shown it. */
final class HistoryChecker {
    private final Map<Long, RegisterValue> chosenByRevision = new HashMap<>();
    private final List<Integer> chain = new ArrayList<>();
    private final Set<Integer> applied = new HashSet<>();
    private final Set<Integer> rejected = new HashSet<>();
    private long newestRevision;
    private int confirmed;

    /** The revision that whatever starts now must see at least. */
    long minRevision() {
        return newestRevision;
    }

    int confirmed() {
        return confirmed;
    }

    void check(boolean holds, String rule) {
        if (!holds) {
            throw new AssertionError(rule);
        }
    }

    /** A value is reported as chosen: one value for each revision, one chain for all. */
    void observeChosen(RegisterValue value) {
        RegisterValue other = chosenByRevision.putIfAbsent(value.revision(), value);
        check(other == null || other.equals(value), "two values at one revision");
        List<Integer> versions = VersionHistory.read(value.payload());
        check(new HashSet<>(versions).size() == versions.size(), "a change was applied twice");
        int common = Math.min(versions.size(), chain.size());
        check(versions.subList(0, common).equals(chain.subList(0, common)), "two chains of changes");
        for (int index = common; index < versions.size(); index++) {
            chain.add(versions.get(index));
        }
    }

    /** A request was confirmed that was started when {@code minRevision} was the newest. */
    void observeConfirmed(RegisterValue value, long minRevision) {
        observeChosen(value);
        confirmed++;
        check(
                value.revision() >= minRevision,
                "went backwards: revision " + value.revision() + " after " + minRevision);
        newestRevision = Math.max(newestRevision, value.revision());
    }

    void observeChangeAnswer(int version, RegisterValue value, Answer<String> answer) {
        if (answer.equals(new Answer.OfChange<>(VersionHistory.APPLIED))) {
            applied.add(version);
            check(VersionHistory.read(value.payload()).contains(version), "acknowledged but not in the value");
        } else {
            rejected.add(version);
        }
    }

    /** After the final read. */
    void checkEnd() {
        check(chain.containsAll(applied), "an acknowledged change is lost");
        for (Integer version : rejected) {
            check(!chain.contains(version), "a rejected change is in force");
        }
    }
}
