package saltfield;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import saltfield.Balancer.Arrived;
import saltfield.Balancer.Entry;
import saltfield.Balancer.RequestClass;
import saltfield.Balancer.Tenant;

/** What {@link Choice} remembers: plain holders, no decisions. */
final class Memory {
    private Memory() { }

    static final class Kind {
        final RequestClass rules;
        double meanWork;
        double samples;
        double worthAsked;
        double worthServed;
        double usualTook;
        double idleTook;
        long timed;
        double tookAt;

        Kind(RequestClass rules, double firstGuess) {
            this.rules = rules;
            this.meanWork = firstGuess;
            this.idleTook = firstGuess;
        }

        double servedShare() {
            return worthAsked <= 0 ? 1 : worthServed / worthAsked;
        }
    }

    /** A sum that fades with time; as of its last addition in {@code value}. */
    static final class Rate {
        final double tau;
        double value;
        double last;

        Rate(double tau) {
            this.tau = tau;
        }

        void add(double now, double amount) {
            value = at(now) + amount;
            last = now;
        }

        double at(double now) {
            return value * Math.exp((last - now) / tau);
        }
    }

    static final class Account {
        final Tenant tenant;
        final Rate rate;

        Account(Tenant tenant, double tau) {
            this.tenant = tenant;
            this.rate = new Rate(tau);
        }
    }

    /** What was observed of one server in one context, newest last. */
    static final class Window {
        final ArrayDeque<Double> times = new ArrayDeque<>();
        final ArrayDeque<Boolean> healthy = new ArrayDeque<>();
        int bad;

        void add(double at, boolean ok) {
            times.addLast(at);
            healthy.addLast(ok);
            bad += ok ? 0 : 1;
        }

        void forgetBefore(double since) {
            while (!times.isEmpty() && times.peekFirst() < since) {
                times.removeFirst();
                bad -= healthy.removeFirst() ? 0 : 1;
            }
        }
    }

    static final class Zone {
        double least;
    }

    static final class Server {
        final String id;
        final long order;
        Entry entry;
        Zone zone;
        boolean condemned;
        boolean inSet;
        boolean gone;
        boolean sawDraining;
        final Map<String, Window> contexts = new LinkedHashMap<>();
        final LinkedHashSet<Attempt> outstanding = new LinkedHashSet<>();
        double weight = 1;
        int doubts;
        double doubtSince;
        double lastDoubt;
        double lastSuccess = Double.NEGATIVE_INFINITY;
        double lastServedSentAt = Double.NEGATIVE_INFINITY;
        double lastTrial = Double.NEGATIVE_INFINITY;
        double lastProbe = Double.NEGATIVE_INFINITY;
        boolean probeServed = true;
        double restFrom;
        double restUntil;
        double rest;
        double fast;
        double lasting;
        double usualLoad = 1;
        double lastSample;
        int samples;
        int connections;
        double lastUse;
        double coldAt;
        double coldSaved;

        Server(String id, long order) {
            this.id = id;
            this.order = order;
        }
    }

    static final class Request {
        final long id;
        final Kind kind;
        final String key;
        final double arrived;
        final double giveUp;
        final Double cost;
        final double worth;
        final double density;
        final List<Attempt> attempts = new ArrayList<>();
        Server keyServer;
        boolean over;
        boolean streaming;

        Request(Arrived a, Kind kind, double now, double worth, double density) {
            this.id = a.request();
            this.kind = kind;
            this.key = a.key();
            this.arrived = now;
            this.giveUp = now + a.budgetMs();
            this.cost = a.cost();
            this.worth = worth;
            this.density = density;
        }

        double aimAt() {
            RequestClass c = kind.rules;
            double aim = c.aimMs() + c.aimPerWork() * (cost == null ? 0 : cost);
            return arrived + Math.min(aim, c.deadlineMs());
        }

        double aim() {
            return aimAt() - arrived;
        }

        boolean anyOut() {
            return attempts.stream().anyMatch(a -> a.state == State.OUT);
        }
    }

    enum State { OUT, NEVER_RAN, MAY_HAVE_RUN }

    static final class Attempt {
        final Request request;
        final int number;
        final Server server;
        final String zone;
        final long cell;
        final double sentAt;
        final int loadAtSend;
        final boolean connects;
        State state = State.OUT;
        boolean overdue;
        double overdueAt;

        Attempt(Request request, Server server, double sentAt, int loadAtSend, boolean connects) {
            this.request = request;
            this.number = request.attempts.size();
            this.server = server;
            this.zone = server.entry.zone();
            this.cell = server.entry.cell();
            this.sentAt = sentAt;
            this.loadAtSend = loadAtSend;
            this.connects = connects;
        }
    }
}
