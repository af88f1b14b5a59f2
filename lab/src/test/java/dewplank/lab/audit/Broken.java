package dewplank.lab.audit;

import dewplank.balancer.Action;
import dewplank.balancer.Action.Fail;
import dewplank.balancer.Action.Reject;
import dewplank.balancer.Action.Send;
import dewplank.balancer.Action.Subscribe;
import dewplank.balancer.Balancer;
import dewplank.balancer.Endpoint;
import dewplank.balancer.Endpoint.Availability;
import dewplank.balancer.Event;
import dewplank.balancer.Event.AttemptEnded;
import dewplank.balancer.Event.EndpointUpdate;
import dewplank.balancer.Event.RequestAbandoned;
import dewplank.balancer.Event.RequestArrived;
import dewplank.balancer.Outcome;
import dewplank.balancer.Settings;
import dewplank.balancer.Settings.Idempotency;
import dewplank.balancer.Settings.RequestClass;
import dewplank.emulator.ClientAttempt;
import dewplank.emulator.RecordedEvent.Type;
import dewplank.emulator.virtualtime.EmulatedSidecar;
import dewplank.emulator.virtualtime.VirtualRun;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/** Balancers and sidecars that each break one rule on purpose. */
final class Broken {
    private Broken() {}

    enum Way {
        NONE,
        NEVER_ANSWERS,
        RESENDS_ORDERS,
        REFUSES_AFTER_RUN,
        KEYED_PAST_WINDOW,
        SENDS_TO_DRAINED,
        FLOODS_COLD
    }

    /** A plain balancer that keeps the rules but for its one way of breaking them. */
    static final class Plain implements Balancer {
        private final Settings settings;
        private final Way way;
        private final SplittableRandom random;
        private final Map<String, Endpoint> list = new HashMap<>();
        private final Map<Long, RequestArrived> open = new HashMap<>();
        private final Map<Long, Integer> attempts = new HashMap<>();
        private Consumer<Action> out;
        private double now;
        private int count;
        private boolean asked;

        Plain(Settings settings, long seed, Way way) {
            this.settings = settings;
            this.way = way;
            this.random = new SplittableRandom(seed);
        }

        @Override
        public void handle(double time, Event event, Consumer<Action> actions) {
            now = time;
            out = actions;
            if (event instanceof EndpointUpdate e) {
                e.endpoints().forEach(x -> list.put(x.server(), x));
                if (!asked) {
                    asked = true;
                    out.accept(new Subscribe());
                }
            } else if (event instanceof RequestArrived e) {
                if (way != Way.NEVER_ANSWERS || ++count % 50 != 0) {
                    open.put(e.request(), e);
                    send(e);
                }
            } else if (event instanceof RequestAbandoned e) {
                open.remove(e.request());
            } else if (event instanceof AttemptEnded e) {
                ended(e);
            }
        }

        private void send(RequestArrived e) {
            List<Endpoint> from = new ArrayList<>();
            for (Endpoint x : list.values().stream()
                    .sorted((a, b) -> a.server().compareTo(b.server()))
                    .toList()) {
                boolean fit = x.availability() == Availability.UP
                        || way == Way.SENDS_TO_DRAINED && x.availability() == Availability.DRAINING;
                boolean cold = x.startedAtMs() != null
                        && now - x.startedAtMs() < settings.safety().slowStartMs();
                if (way == Way.FLOODS_COLD && cold && fit) {
                    from = List.of(x);
                    break;
                }
                if (fit && !cold) {
                    from.add(x);
                }
            }
            if (from.isEmpty()) {
                open.remove(e.request());
                out.accept(new Reject(e.request(), 0));
                return;
            }
            attempts.merge(e.request(), 1, Integer::sum);
            out.accept(
                    new Send(e.request(), from.get(random.nextInt(from.size())).server(), 0));
        }

        private void ended(AttemptEnded e) {
            RequestArrived a = open.get(e.request());
            if (a == null || e.requestIsOver()) {
                open.remove(e.request());
                return;
            }
            RequestClass c = settings.classes().stream()
                    .filter(x -> x.name().equals(a.requestClass()))
                    .findFirst()
                    .orElseThrow();
            boolean may = c.idempotency() == Idempotency.SAFE
                    || e.outcome() == Outcome.REJECTED && attempts.get(e.request()) == 1
                    || way == Way.RESENDS_ORDERS
                            && c.idempotency() == Idempotency.UNSAFE
                            && e.outcome() == Outcome.RESET
                    || way == Way.KEYED_PAST_WINDOW && c.idempotency() == Idempotency.KEYED;
            if (may && attempts.get(e.request()) < 3) {
                send(a);
                return;
            }
            open.remove(e.request());
            boolean never = e.outcome() == Outcome.REJECTED || e.outcome() == Outcome.CONNECT_FAILED;
            out.accept(
                    way == Way.REFUSES_AFTER_RUN || never && attempts.get(e.request()) == 1
                            ? new Reject(e.request(), 0)
                            : new Fail(e.request()));
        }
    }

    /** Gives the client its answer a second time. */
    static final class AnswersTwice extends EmulatedSidecar {
        AnswersTwice(VirtualRun run, int number) {
            super(run, number);
        }

        @Override
        protected void respond(ClientAttempt t, Type what, double value) {
            super.respond(t, what, value);
            if (t.id() % 100 == 0) {
                super.respond(t, Type.FAILED, 0);
            }
        }
    }

    /** Gives a client what was made for another one. */
    static final class MixesUp extends EmulatedSidecar {
        private long last = -1;

        MixesUp(VirtualRun run, int number) {
            super(run, number);
        }

        @Override
        protected void respond(ClientAttempt t, Type what, double value) {
            boolean mix = what == Type.SERVED && t.id() % 100 == 0 && last >= 0;
            super.respond(t, what, mix ? last : value);
            last = what == Type.SERVED ? t.id() : last;
        }
    }
}
