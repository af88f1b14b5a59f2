package dewplank.register;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** What was seen of the register in one simulated history, and whether one register could have shown it. */
final class HistoryCheck {
    private final Map<Long, RegisterValue> chosen = new HashMap<>();
    private final List<Integer> chain = new ArrayList<>();
    private final Set<Integer> taken = new HashSet<>();
    private final Set<Integer> refused = new HashSet<>();
    private long newestRevision;
    private int confirmed;

    /** The revision that whatever starts now must see at least. */
    long floor() {
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

    /** A value is said to be chosen: one value for each revision, one chain for all. */
    void saw(RegisterValue value) {
        RegisterValue other = chosen.putIfAbsent(value.revision(), value);
        check(other == null || other.equals(value), "two values at one revision");
        List<Integer> versions = VersionHistory.read(value.payload());
        check(new HashSet<>(versions).size() == versions.size(), "a change was taken twice");
        int common = Math.min(versions.size(), chain.size());
        check(versions.subList(0, common).equals(chain.subList(0, common)), "two chains of changes");
        for (int index = common; index < versions.size(); index++) {
            chain.add(versions.get(index));
        }
    }

    /** A request was answered for certain. */
    void confirmed(RegisterValue value, long floorAtStart) {
        saw(value);
        confirmed++;
        check(
                value.revision() >= floorAtStart,
                "went backwards: revision " + value.revision() + " after " + floorAtStart);
        newestRevision = Math.max(newestRevision, value.revision());
    }

    void changeAnswered(int version, RegisterValue value, Object answer) {
        if (VersionHistory.TAKEN.equals(answer)) {
            taken.add(version);
            check(VersionHistory.read(value.payload()).contains(version), "acknowledged but not in the value");
        } else {
            refused.add(version);
        }
    }

    /** After the last read. */
    void checkEnd() {
        check(chain.containsAll(taken), "an acknowledged change is lost");
        for (Integer version : refused) {
            check(!chain.contains(version), "a refused change is in force");
        }
    }
}
