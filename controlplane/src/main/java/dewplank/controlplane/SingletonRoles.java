package dewplank.controlplane;

import dewplank.net.Scheduler;
import dewplank.register.AcceptorId;
import dewplank.register.AcceptorSet;
import dewplank.singleton.Candidate;
import dewplank.singleton.LeaseTiming;
import dewplank.singleton.LeaseVoter;
import dewplank.singleton.VoteReply;
import dewplank.singleton.VoteRequest;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * This control plane's votes and candidacy for the fleet's singleton roles. The voters are the register's acceptors.
 *
 * <p>Supplies {@link LeaseVoter} and {@link Candidate}, which do no I/O themselves, with messages, time and the disk.
 * If a token can't be saved, the vote is not granted; nothing else is affected. Must be used on the loop's thread only.
 */
final class SingletonRoles {
    private static final Logger LOG = LoggerFactory.getLogger(SingletonRoles.class);
    private static final double TICK_INTERVAL_MS = 20;
    /** Name of the fleet's only singleton role in messages and on disk. */
    private static final String SINGLETON_ROLE = "list";

    /** Sends messages to control planes; a message to this process itself arrives in a later task. */
    interface MessageSender {
        void send(String address, Object message);
    }

    /** The newest acceptor sets according to this control plane. */
    interface Voters {
        /** The newest set known to be chosen. */
        AcceptorSet acceptors();

        /** Volatile acceptors whose processes are known to have terminated. */
        Set<AcceptorId> endedAcceptors();

        /** The generation of the set that this process accepted last, whether or not it is chosen. */
        long acceptedGeneration();
    }

    private final Scheduler loop;
    private final Storage storage;
    private final Voters voters;
    private final MessageSender sender;
    private final LeaseVoter voter;
    private final Candidate candidate;

    SingletonRoles(
            Scheduler loop,
            AcceptorId self,
            double leaseMs,
            Storage storage,
            RandomGenerator random,
            Voters voters,
            MessageSender sender) {
        this.loop = loop;
        this.storage = storage;
        this.voters = voters;
        this.sender = sender;
        double now = loop.now();
        voter = new LeaseVoter(
                self.identity(), leaseMs, storage.firstStart() ? 0 : now + leaseMs, storage.fencingTokens());
        candidate = new Candidate(
                SINGLETON_ROLE,
                self.address() + "#" + Long.toHexString(random.nextLong()),
                LeaseTiming.ofLease(leaseMs),
                random::nextDouble,
                now);
    }

    void start() {
        tick();
    }

    private void tick() {
        updateVoters();
        candidate.tick(loop.now(), new CandidateActions());
        loop.after(TICK_INTERVAL_MS, this::tick);
    }

    /**
     * Called before each vote. An acceptance is stored before it leaves this process, so the generation that is read
     * here includes it.
     */
    private void updateVoters() {
        voter.updateVoterSet(loop.now(), voters.acceptors().generation(), voters.acceptedGeneration());
        candidate.updateVoterSet(loop.now(), voters.acceptors(), voters.endedAcceptors());
    }

    /** Handles a candidate's request for a vote; the candidate may belong to this process. */
    void onVoteRequest(String from, VoteRequest request) {
        updateVoters();
        voter.onVoteRequest(loop.now(), request, new VoterActions(from));
    }

    /** Handles a voter's reply to this process's candidate. */
    void onVoteReply(VoteReply reply) {
        candidate.onVoteReply(loop.now(), reply, new CandidateActions());
    }

    /** Releases the lease when the process drains; the process does not become a candidate again. */
    void releaseAll() {
        candidate.shutDown(loop.now(), new CandidateActions());
    }

    /**
     * The role whose lease holder polls the platform, orders stage changes, changes the acceptors and assigns quota
     * shares.
     */
    SingletonRole endpointList() {
        return new SingletonRole() {
            @Override
            public boolean isLeaseHolder() {
                return candidate.isLeaseHolder(loop.now());
            }

            @Override
            public long fencingToken() {
                return candidate.fencingToken();
            }

            @Override
            public void stepDown(double minimumMs) {
                candidate.stepDown(loop.now(), minimumMs, new CandidateActions());
            }
        };
    }

    private final class CandidateActions implements Candidate.Effects {
        @Override
        public void send(AcceptorId to, VoteRequest request) {
            sender.send(to.address(), request);
        }

        @Override
        public void leaseAcquired(String role, long fencingToken) {
            LOG.info("lease acquired duty={} token={}", role, fencingToken);
        }

        @Override
        public void leaseLost(String role, long fencingToken) {
            LOG.info("lease lost duty={} token={}", role, fencingToken);
        }
    }

    private final class VoterActions implements LeaseVoter.Effects {
        private final String to;

        VoterActions(String to) {
            this.to = to;
        }

        @Override
        public void persistToken(VoteRequest request, VoteReply reply) {
            storage.saveFencingToken(request.duty(), reply.highestToken(), result -> {
                if (result.isSuccess()) {
                    voter.onTokenPersisted(request);
                    sender.send(to, reply);
                } else {
                    voter.onPersistFailed(loop.now(), request, this);
                }
            });
        }

        @Override
        public void send(VoteReply reply) {
            sender.send(to, reply);
        }

        @Override
        public void leaseReleased(String role) {
            candidate.onLeaseReleased(loop.now());
        }
    }
}
