package dewplank.controlplane;

import dewplank.net.Scheduler;
import dewplank.register.AcceptorId;
import dewplank.register.AcceptorSet;
import dewplank.singleton.Candidate;
import dewplank.singleton.CandidateOutput;
import dewplank.singleton.DutyTiming;
import dewplank.singleton.VoteReply;
import dewplank.singleton.VoteRequest;
import dewplank.singleton.Voter;
import dewplank.singleton.VoterOutput;
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
    private final Voter voter;
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
        voter = new Voter(self.identity(), leaseMs, storage.firstStart() ? 0 : now + leaseMs, storage.numbers());
        candidate = new Candidate(
                LIST,
                self.address() + "#" + Long.toHexString(random.nextLong()),
                DutyTiming.ofLease(leaseMs),
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
        voter.voters(loop.now(), voters.acceptors().generation(), voters.acceptedGeneration());
        candidate.voters(loop.now(), voters.acceptors());
    }

    /** Another candidate, or this process's own, asks for a vote. */
    void asked(String from, VoteRequest request) {
        learn();
        voter.vote(loop.now(), request, new Voting(from));
    }

    void answered(VoteReply reply) {
        candidate.received(loop.now(), reply, new Standing());
    }

    /** The process ends: the duty is laid down. */
    void release() {
        candidate.release(loop.now(), new Standing());
    }

    /** The duty to ask the platform for its list, and to keep the acceptors what they should be. */
    EndpointPoller.Duty list() {
        return new EndpointPoller.Duty() {
            @Override
            public boolean holds() {
                return candidate.holds(loop.now());
            }

            @Override
            public long fencingNumber() {
                return candidate.fencingNumber();
            }

            @Override
            public void pause(double ms) {
                candidate.pause(loop.now(), ms, new Standing());
            }
        };
    }

    private final class Standing implements CandidateOutput {
        @Override
        public void send(AcceptorId to, VoteRequest request) {
            sending.send(to.address(), request);
        }

        @Override
        public void won(String duty, long number) {
            LOG.info("duty {} is held here under number {}", duty, number);
        }

        @Override
        public void lost(String duty, long number) {
            LOG.info("duty {} is held here no more", duty);
        }
    }

    private final class Voting implements VoterOutput {
        private final String to;

        Voting(String to) {
            this.to = to;
        }

        @Override
        public void persist(VoteRequest request, VoteReply reply) {
            storage.saveNumber(request.duty(), reply.number(), saved -> {
                if (saved) {
                    voter.persisted(request);
                    sending.send(to, reply);
                } else {
                    voter.notPersisted(loop.now(), request, this);
                }
            });
        }

        @Override
        public void send(VoteReply reply) {
            sending.send(to, reply);
        }

        @Override
        public void vacated(String duty) {
            candidate.vacated(loop.now());
        }
    }
}
