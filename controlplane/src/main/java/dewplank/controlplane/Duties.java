package dewplank.controlplane;

import dewplank.net.Scheduler;
import java.util.List;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import dewplank.register.Acceptor;
import dewplank.register.AcceptorSet;
import dewplank.duty.Candidate;
import dewplank.duty.CandidateOutput;
import dewplank.duty.DutyTiming;
import dewplank.duty.VoteReply;
import dewplank.duty.VoteRequest;
import dewplank.duty.Voter;
import dewplank.duty.VoterOutput;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** This control sidecar's votes and candidacies for singleton duties. The voters are the register's acceptors. */
final class Duties {
    private static final Logger LOG = LoggerFactory.getLogger(Duties.class);
    /** Short enough for a list's successor to tell of a drain in time, long enough to outlast a pause of the JVM. */
    private static final double LEASE_MS = 1_200;
    private static final double TICK_MS = 20;
    private static final String LIST = "list";

    /** Sends to a control sidecar. */
    interface Sending {
        void send(String address, Object message);
    }

    private final Scheduler loop;
    private final String address;
    private final Storage storage;
    private final Supplier<AcceptorSet> acceptors;
    private final Sending sending;
    private final Voter voter;
    private final Candidate candidate;

    Duties(Scheduler loop, String address, Storage storage, RandomGenerator random, Supplier<AcceptorSet> acceptors,
           Sending sending) {
        this.loop = loop;
        this.address = address;
        this.storage = storage;
        this.acceptors = acceptors;
        this.sending = sending;
        double now = loop.now();
        voter = new Voter(address, LEASE_MS, storage.firstStart() ? 0 : now + LEASE_MS, storage.numbers());
        candidate = new Candidate(LIST, address + "#" + Long.toHexString(random.nextLong()),
            DutyTiming.ofLease(LEASE_MS),
            random::nextDouble, now);
    }

    void start() {
        tick();
    }

    private void tick() {
        long version = acceptors.get().generation();
        voter.voters(version);
        candidate.voters(version, voters());
        candidate.tick(loop.now(), new Standing());
        loop.after(TICK_MS, this::tick);
    }

    private List<String> voters() {
        return acceptors.get().all().stream().map(Acceptor::address).distinct().toList();
    }

    /** Another candidate, or this process's own, asks for a vote. */
    void asked(String from, VoteRequest request) {
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
    ServerLister.Duty list() {
        return new ServerLister.Duty() {
            @Override
            public boolean holds() {
                return candidate.holds(loop.now());
            }

            @Override
            public long fencingNumber() {
                return candidate.fencingNumber();
            }
        };
    }

    private final class Standing implements CandidateOutput {
        @Override
        public void send(String to, VoteRequest request) {
            sending.send(to, request);
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
        public void persist(String duty, long number, VoteReply reply) {
            storage.saveNumber(duty, number, saved -> {
                if (saved) {
                    sending.send(to, reply);
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
