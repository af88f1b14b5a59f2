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
    private static final String LIST = "list";

    /** Sends to a control sidecar. */
    interface Sending {
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
    private final Sending sending;
    private final LeaseVoter voter;
    private final Candidate candidate;

    SingletonRoles(
            Scheduler loop,
            AcceptorId self,
            double leaseMs,
            Storage storage,
            RandomGenerator random,
            Voters voters,
            Sending sending) {
        this.loop = loop;
        this.storage = storage;
        this.voters = voters;
        this.sending = sending;
        double now = loop.now();
        voter = new LeaseVoter(self.identity(), leaseMs, storage.firstStart() ? 0 : now + leaseMs, storage.numbers());
        candidate = new Candidate(
                LIST,
                self.address() + "#" + Long.toHexString(random.nextLong()),
                LeaseTiming.ofLease(leaseMs),
                random::nextDouble,
                now);
    }

    void start() {
        tick();
    }

    private void tick() {
        learn();
        candidate.tick(loop.now(), new Standing());
        loop.after(TICK_MS, this::tick);
    }

    /** An acceptance has not left this process before its disk held it, so that it is known here by then. */
    private void learn() {
        voter.updateVoterSet(loop.now(), voters.acceptors().generation(), voters.acceptedGeneration());
        candidate.updateVoterSet(loop.now(), voters.acceptors());
    }

    /** Another candidate, or this process's own, asks for a vote. */
    void asked(String from, VoteRequest request) {
        learn();
        voter.onVoteRequest(loop.now(), request, new Voting(from));
    }

    void answered(VoteReply reply) {
        candidate.onVoteReply(loop.now(), reply, new Standing());
    }

    /** The process ends: the duty is laid down. */
    void release() {
        candidate.shutDown(loop.now(), new Standing());
    }

    /** The duty to ask the platform for its list, and to keep the acceptors what they should be. */
    EndpointPoller.Duty list() {
        return new EndpointPoller.Duty() {
            @Override
            public boolean holds() {
                return candidate.isLeaseHolder(loop.now());
            }

            @Override
            public long fencingNumber() {
                return candidate.fencingToken();
            }

            @Override
            public void pause(double ms) {
                candidate.stepDown(loop.now(), ms, new Standing());
            }
        };
    }

    private final class Standing implements Candidate.Effects {
        @Override
        public void send(AcceptorId to, VoteRequest request) {
            sending.send(to.address(), request);
        }

        @Override
        public void leaseAcquired(String duty, long fencingToken) {
            LOG.info("duty {} is held here under number {}", duty, fencingToken);
        }

        @Override
        public void leaseLost(String duty, long fencingToken) {
            LOG.info("duty {} is held here no more", duty);
        }
    }

    private final class Voting implements LeaseVoter.Effects {
        private final String to;

        Voting(String to) {
            this.to = to;
        }

        @Override
        public void persistToken(VoteRequest request, VoteReply reply) {
            storage.saveNumber(request.duty(), reply.highestToken(), saved -> {
                if (saved) {
                    voter.onTokenPersisted(request);
                    sending.send(to, reply);
                } else {
                    voter.onPersistFailed(loop.now(), request, this);
                }
            });
        }

        @Override
        public void send(VoteReply reply) {
            sending.send(to, reply);
        }

        @Override
        public void leaseReleased(String duty) {
            candidate.onLeaseReleased(loop.now());
        }
    }
}
