package dewplank.configuration;

import dewplank.register.AcceptorId;
import dewplank.register.AcceptorSet;
import dewplank.register.Answer;
import dewplank.register.Decision;
import dewplank.register.DurableState;
import dewplank.register.Outcome;
import dewplank.register.Register;
import dewplank.register.RegisterMessage;
import dewplank.register.RegisterValue;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/**
 * The register orders values by ballot and revision, its readers by the configuration's version: the two never
 * disagree. Changes at three processes compete for the same versions with other contents, so that versions are refused
 * and come again; messages are lost, repeated and reordered, and the set of acceptors changes in between.
 */
class VersionOrderTest {
    private static final int HISTORIES = 60;
    private static final int STEPS = 1500;
    private static final double STEP_MS = 3;
    private static final double TIMEOUT_MS = 400;

    private record Sent(int to, RegisterMessage message) {}

    private final List<Node> nodes = new ArrayList<>();
    private final List<Sent> wire = new ArrayList<>();
    private final Map<Long, String> contents = new HashMap<>();
    private final Set<Long> refused = new HashSet<>();
    private int reused;
    private SplittableRandom random;
    private double now;
    private long requests;

    /** One process; its disk takes no time. */
    private final class Node implements Register.Effects<ChangeResult> {
        private final Register<ChangeResult> register;
        private final Map<Long, Long> versionByRequest = new HashMap<>();
        private long learnedVersion;

        Node(int index, List<AcceptorId> members) {
            register = new Register<>(
                    new Register.Settings("n" + index, AcceptorSet.of(members), 60, 5, 40, 90),
                    DurableState.fresh("i" + index),
                    random.split());
        }

        @Override
        public void send(String address, RegisterMessage message) {
            wire.add(new Sent(address.charAt(1) - '0', message));
        }

        @Override
        public void store(long ticket, DurableState state) {
            register.handleStored(now, ticket, this);
        }

        @Override
        public void learned(RegisterValue value) {
            Configuration configuration =
                    ConfigurationDocument.decode(value.payload()).configuration();
            if (configuration == null) {
                return;
            }
            long version = configuration.version();
            String content = Samples.text(configuration.json());
            Assertions.assertTrue(version >= learnedVersion, "version " + version + " after " + learnedVersion);
            Assertions.assertEquals(contents.computeIfAbsent(version, each -> content), content);
            reused += version > learnedVersion && refused.contains(version) ? 1 : 0;
            learnedVersion = version;
        }

        @Override
        public void completed(long request, Outcome<ChangeResult> outcome) {
            if (outcome instanceof Outcome.Confirmed<ChangeResult> confirmed
                    && confirmed.answer() instanceof Answer.OfChange<ChangeResult> answer
                    && answer.result() instanceof ChangeResult.VersionMismatch) {
                refused.add(versionByRequest.get(request));
            }
        }

        /** Tries the next version or the one after it, with a content of its own. */
        void change() {
            long version = learnedVersion + random.nextInt(1, 3);
            ChangeRequest change = new ChangeRequest(
                    false,
                    learnedVersion,
                    Samples.bytes(Samples.document(version).replaceFirst("}$", ",\"by\":" + ++requests + "}")));
            versionByRequest.put(requests, version);
            register.change(
                    now,
                    requests,
                    payload -> {
                        ChangeResult result =
                                ConfigurationDocument.decode(payload).apply(change);
                        return result instanceof ChangeResult.Accepted accepted
                                ? new Decision<>(accepted.next().encode(), result)
                                : new Decision<>(null, result);
                    },
                    now + TIMEOUT_MS,
                    this);
        }

        void replace(List<AcceptorId> wanted) {
            register.reconfigure(now, ++requests, register.acceptors().generation(), wanted, now + TIMEOUT_MS, this);
        }
    }

    private void play(long seed) {
        random = new SplittableRandom(seed);
        nodes.clear();
        wire.clear();
        contents.clear();
        refused.clear();
        List<AcceptorId> all = new ArrayList<>();
        for (int index = 0; index < 4; index++) {
            all.add(new AcceptorId("n" + index, "i" + index));
        }
        for (int index = 0; index < 4; index++) {
            nodes.add(new Node(index, all.subList(0, 3)));
        }
        for (int step = 0; step < STEPS; step++) {
            now += STEP_MS;
            Node node = nodes.get(random.nextInt(3));
            if (step % 12 == 0) {
                node.change();
            } else if (step % 300 == 150) {
                node.replace(step % 600 == 150 ? all.subList(1, 4) : all.subList(0, 3));
            }
            for (Node each : nodes) {
                each.register.tick(now, each);
            }
            deliver();
        }
    }

    private void deliver() {
        for (int count = random.nextInt(12); count > 0 && !wire.isEmpty(); count--) {
            int index = random.nextInt(wire.size());
            boolean isRepeated = random.nextInt(20) == 0;
            Sent sent = isRepeated ? wire.get(index) : wire.remove(index);
            Node node = nodes.get(sent.to);
            if (random.nextInt(20) != 0) {
                node.register.handleMessage(now, sent.message, node);
            }
        }
    }

    @Test
    void versionsGrowWithBallotsAndNameOneContent() {
        int versions = 0;
        for (long seed = 0; seed < HISTORIES; seed++) {
            try {
                play(seed);
            } catch (AssertionError failure) {
                throw new AssertionError("history of seed " + seed + ": " + failure.getMessage(), failure);
            }
            versions += contents.size();
        }
        System.out.println(versions + " versions in " + HISTORIES + " histories, " + reused
                + " times one that had been refused with other content");
        Assertions.assertTrue(versions > HISTORIES, "hardly anything was chosen: " + versions);
        Assertions.assertTrue(reused > HISTORIES, "refused versions hardly came again: " + reused);
    }
}
