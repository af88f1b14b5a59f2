package dewplank.controlplane;

import dewplank.net.Scheduler;
import dewplank.register.AcceptorId;
import dewplank.register.AcceptorSet;
import dewplank.singleton.Candidate;
import dewplank.singleton.LeaseTiming;
import dewplank.singleton.LeaseVoter;
import dewplank.singleton.VoteReply;
import dewplank.singleton.VoteRequest;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** This control sidecar's votes and candidacies for singleton duties. The voters are the register's acceptors. */
final class SingletonRoles {
    private static final Logger LOG = LoggerFactory.getLogger(SingletonRoles.class);
    private static final double TICK_MS = 20;
    private static final String ENDPOINT_LIST_ROLE = "list";

    /** Sends to a control sidecar. */
    interface MessageSender {
        void send(String address, Object message);
    }

    /** The sets of acceptors as this control sidecar knows them. */
    interface Voters {
        /** The newest set known to be chosen. */
        AcceptorSet acceptors();

        /** The generation of the set accepted here last, whether or not it is chosen. */
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
                ENDPOINT_LIST_ROLE,
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
        loop.after(TICK_MS, this::tick);
    }

    /** An acceptance has not left this process before its disk held it, so that it is known here by then. */
    private void updateVoters() {
        voter.updateVoterSet(loop.now(), voters.acceptors().generation(), voters.acceptedGeneration());
        candidate.updateVoterSet(loop.now(), voters.acceptors());
    }

    /** Another candidate, or this process's own, asks for a vote. */
    void voteRequested(String from, VoteRequest request) {
        updateVoters();
        voter.onVoteRequest(loop.now(), request, new VoterActions(from));
    }

    void voteReplied(VoteReply reply) {
        candidate.onVoteReply(loop.now(), reply, new CandidateActions());
    }

    /** The process ends: the duty is laid down. */
    void release() {
        candidate.shutDown(loop.now(), new CandidateActions());
    }

    /** The duty to ask the platform for its list, and to keep the acceptors what they should be. */
    SingletonRole endpointList() {
        return new SingletonRole() {
            @Override
            public boolean isHeld() {
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
        public void leaseAcquired(String duty, long fencingToken) {
            LOG.info("lease acquired duty={} token={}", duty, fencingToken);
        }

        @Override
        public void leaseLost(String duty, long fencingToken) {
            LOG.info("lease lost duty={} token={}", duty, fencingToken);
        }
    }

    private final class VoterActions implements LeaseVoter.Effects {
        private final String to;

        VoterActions(String to) {
            this.to = to;
        }

        @Override
        public void persistToken(VoteRequest request, VoteReply reply) {
            storage.saveFencingToken(request.duty(), reply.highestToken(), saved -> {
                if (saved) {
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
        public void leaseReleased(String duty) {
            candidate.onLeaseReleased(loop.now());
        }
    }
}
