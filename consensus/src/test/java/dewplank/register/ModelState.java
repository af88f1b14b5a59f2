package dewplank.register;

import java.util.Arrays;

/**
 * One state of the whole model; all parts are stored as their numbers. Sent messages are never removed: each may be
 * delivered at any time, repeatedly, or never.
 */
final class ModelState {
    int[] processes;
    int[] disks;
    int[] uncertain;
    int[] timeouts;
    int kills;
    int failures;
    int wipes;
    int rejected;
    int[] messages = new int[0];
    /** The sorted proposals, each followed by the set of acceptors that voted for it, or by -1 if it is chosen. */
    int[] votes = new int[0];

    ModelState previous;
    String step;

    ModelState next(String byStep, boolean traced) {
        ModelState next = new ModelState();
        next.processes = processes;
        next.disks = disks;
        next.uncertain = uncertain;
        next.timeouts = timeouts;
        next.kills = kills;
        next.failures = failures;
        next.wipes = wipes;
        next.rejected = rejected;
        next.messages = messages;
        next.votes = votes;
        next.previous = traced ? this : null;
        next.step = traced ? byStep : null;
        return next;
    }

    static int[] withElement(int[] numbers, int index, int number) {
        if (numbers[index] == number) {
            return numbers;
        }
        int[] changed = numbers.clone();
        changed[index] = number;
        return changed;
    }

    void send(int message) {
        int at = Arrays.binarySearch(messages, message);
        if (at < 0) {
            messages = inserted(messages, -at - 1, message);
        }
    }

    private static int[] inserted(int[] numbers, int at, int... added) {
        int[] longer = new int[numbers.length + added.length];
        System.arraycopy(numbers, 0, longer, 0, at);
        System.arraycopy(added, 0, longer, at, added.length);
        System.arraycopy(numbers, at, longer, at + added.length, numbers.length - at);
        return longer;
    }

    void propose(int proposal) {
        int at = 0;
        while (at < votes.length && votes[at] < proposal) {
            at += 2;
        }
        if (at >= votes.length || votes[at] != proposal) {
            votes = inserted(votes, at, proposal, 0);
        }
    }

    /** A 64-bit hash of the state. */
    long hash() {
        long hash = mix(kills * 1_000_000L + failures * 10_000L + wipes * 1000L + rejected);
        for (int[] part : new int[][] {processes, disks, uncertain, timeouts, messages, votes}) {
            hash = mix(hash ^ part.length);
            for (int number : part) {
                hash = mix(hash + number);
            }
        }
        return hash;
    }

    /** The finalizer of SplitMix64, a bijection in which each input bit affects all output bits. */
    private static long mix(long number) {
        long mixed = number + 0x9E3779B97F4A7C15L;
        mixed = (mixed ^ (mixed >>> 30)) * 0xBF58476D1CE4E5B9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
        return mixed ^ (mixed >>> 31);
    }

    String trace() {
        return (previous == null ? "" : previous.trace()) + (step == null ? "" : step + "\n");
    }
}
