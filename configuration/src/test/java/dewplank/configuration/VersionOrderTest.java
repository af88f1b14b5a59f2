package dewplank.configuration;

import dewplank.register.AcceptorId;
import dewplank.register.AcceptorSet;
import dewplank.register.Decision;
import dewplank.register.DurableState;
import dewplank.register.Outcome;
import dewplank.register.Register;
import dewplank.register.RegisterMessage;
import dewplank.register.RegisterValue;
import dewplank.register.RequestResult;
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
 * The register orders values by ballot and revision, while its readers order them by the configuration's version. Tests
 * that the two orders always agree. Three processes concurrently propose the same versions with different content, so
 * that a rejected version may be proposed again with other content. Messages are lost, repeated and reordered, and the
 * acceptor set changes in between.
 */
class VersionOrderTest {
    private static final int SIMULATION_RUNS = 60;
    private static final int STEPS = 1500;
    private static final double STEP_MS = 3;
    private static final double TIMEOUT_MS = 400;

    private record MessageInTransit(int to, RegisterMessage message) {}

    private final List<Node> nodes = new ArrayList<>();
    private final List<MessageInTransit> network = new ArrayList<>();
    private final Map<Long, String> contentByVersion = new HashMap<>();
    private final Set<Long> rejectedVersions = new HashSet<>();
    private int reusedVersions;
    private SplittableRandom random;
    private double now;
    private long requests;

    /** One process; its disk writes complete immediately. */
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
            network.add(new MessageInTransit(address.charAt(1) - '0', message));
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
            Assertions.assertEquals(contentByVersion.computeIfAbsent(version, each -> content), content);
            reusedVersions += version > learnedVersion && rejectedVersions.contains(version) ? 1 : 0;
            learnedVersion = version;
        }

        @Override
        public void completed(long request, Outcome<ChangeResult> outcome) {
            if (outcome instanceof Outcome.Confirmed<ChangeResult> confirmed
                    && confirmed.result() instanceof RequestResult.OfChange<ChangeResult> requestResult
                    && requestResult.result() instanceof ChangeResult.VersionMismatch) {
                rejectedVersions.add(versionByRequest.get(request));
            }
        }

        /** Proposes the next version or the one after it, with unique content. */
        void proposeChange() {
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

        void changeAcceptors(List<AcceptorId> members) {
            register.reconfigure(now, ++requests, register.acceptors().generation(), members, now + TIMEOUT_MS, this);
        }
    }

    private void simulate(long seed) {
        random = new SplittableRandom(seed);
        nodes.clear();
        network.clear();
        contentByVersion.clear();
        rejectedVersions.clear();
        List<AcceptorId> acceptorIds = new ArrayList<>();
        for (int index = 0; index < 4; index++) {
            acceptorIds.add(new AcceptorId("n" + index, "i" + index));
        }
        for (int index = 0; index < 4; index++) {
            nodes.add(new Node(index, acceptorIds.subList(0, 3)));
        }
        for (int step = 0; step < STEPS; step++) {
            now += STEP_MS;
            Node node = nodes.get(random.nextInt(3));
            if (step % 12 == 0) {
                node.proposeChange();
            } else if (step % 300 == 150) {
                node.changeAcceptors(step % 600 == 150 ? acceptorIds.subList(1, 4) : acceptorIds.subList(0, 3));
            }
            for (Node each : nodes) {
                each.register.tick(now, each);
            }
            deliver();
        }
    }

    private void deliver() {
        for (int count = random.nextInt(12); count > 0 && !network.isEmpty(); count--) {
            int index = random.nextInt(network.size());
            boolean isRepeated = random.nextInt(20) == 0;
            MessageInTransit next = isRepeated ? network.get(index) : network.remove(index);
            Node node = nodes.get(next.to);
            if (random.nextInt(20) != 0) {
                node.register.handleMessage(now, next.message, node);
            }
        }
    }

    @Test
    void versionsIncreaseWithBallotsAndHaveOneContentEach() {
        int versions = 0;
        for (long seed = 0; seed < SIMULATION_RUNS; seed++) {
            try {
                simulate(seed);
            } catch (AssertionError failure) {
                throw new AssertionError("simulation run with seed " + seed + ": " + failure.getMessage(), failure);
            }
            versions += contentByVersion.size();
        }
        System.out.println(versions + " versions in " + SIMULATION_RUNS + " simulation runs, " + reusedVersions
                + " times one that had been rejected with other content");
        Assertions.assertTrue(versions > SIMULATION_RUNS, "too few versions were chosen: " + versions);
        Assertions.assertTrue(
                reusedVersions > SIMULATION_RUNS,
                "too few rejected versions were chosen with other content: " + reusedVersions);
    }
}
