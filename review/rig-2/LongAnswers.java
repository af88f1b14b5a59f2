import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients get long answers of a sound server at the same time. Meanwhile other clients send short requests of an unsafe
 * route on kept connections. Counted are those short requests that a sound server has read and whose connection ends
 * without an answer.
 */
final class LongAnswers {
    private static final int WITNESSES = 8;
    /** The rule allows three. */
    private static final int ALLOWED = 3;

    /** Of one answer: 12.5 Mbit/s. */
    private static final int BYTES_PER_S = 1_562_500;

    private static final int SHORT_ANSWER = 800;

    private LongAnswers() {}

    public static void main(String[] args) throws Exception {
        int clients = number("CLIENTS", 30);
        int bytes = number("BYTES", 4_000_000);
        Rig.main(args, (rig, trouble) -> run(rig, clients, trouble ? bytes : SHORT_ANSWER));
    }

    private static int number(String name, int normal) {
        return System.getenv(name) == null ? normal : Integer.parseInt(System.getenv(name));
    }

    private static boolean run(Rig rig, int clients, int bytes) throws Exception {
        rig.createFleet(3, 1, 390);
        Rig.PlainServer reports = rig.new PlainServer("i-long", "s-long", "127.77.1.101", 300, bytes);
        reports.bytesPerSecond = BYTES_PER_S;
        Rig.PlainServer labels = rig.new PlainServer("i-label", "s-label", "127.77.1.102", 400, SHORT_ANSWER);
        rig.startAll();
        rig.putConfiguration(Routes.configuration(), 0, 20_000);
        rig.awaitReady("edge-0", 20_000);
        Thread.sleep(4_000); // longer than contact_ms: the machine is in touch
        Rig.Node edge = rig.node("edge-0");

        AtomicBoolean ended = new AtomicBoolean();
        Map<String, String> lost = new ConcurrentHashMap<>();
        AtomicInteger served = new AtomicInteger();
        List<Thread> threads = new ArrayList<>();
        for (int index = 0; index < WITNESSES; index++) {
            int number = index;
            threads.add(started(() -> Routes.witness(rig, edge.ip, number, ended, lost, served)));
        }
        Thread.sleep(1_500); // each has had answers on its connection

        List<Thread> readers = new ArrayList<>();
        for (int index = 0; index < clients; index++) {
            String id = "long" + index;
            readers.add(started(() -> {
                try (Rig.Http http = new Rig.Http(edge.ip, rig.front, 8_000)) {
                    Rig.Http.Answer answer = http.call("POST", "/long/x", Routes.headers(id, 8_000), new byte[600]);
                    rig.note(id + " answered " + answer.status() + " with " + answer.body().length + " bytes");
                } catch (IOException e) {
                    rig.note(id + " connection ended: " + e);
                }
            }));
        }
        for (Thread reader : readers) {
            reader.join(9_000);
        }
        rig.note("requests for long answers run at their server: " + reports.runs.size());
        Thread.sleep(1_500);
        ended.set(true);
        for (Thread thread : threads) {
            thread.join(3_000);
        }
        return Routes.judge(rig, edge, labels, lost, served, ALLOWED);
    }

    private static Thread started(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
