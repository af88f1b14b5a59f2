package dewplank.emulator;

import static org.junit.Assert.assertEquals;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.Test;

public class VirtualTimeTest {

    @Test
    public void tasksRunByTimeAndThoseOfOneMomentInTheirOrder() {
        VirtualTime time = new VirtualTime();
        Random random = new Random(3);
        List<String> ran = new ArrayList<>();
        List<String> expected = new ArrayList<>();
        for (int i = 0; i < 5_000; i++) {
            int at = random.nextInt(500);
            String name = "%04d %05d".formatted(at, i);
            expected.add(name);
            time.after(at, () -> ran.add(name));
        }
        Collections.sort(expected);
        time.runUntil(1_000);
        assertEquals(expected, ran);
        assertEquals(1_000, time.now(), 0);
    }

    @Test
    public void aTaskOfThePastRunsNowAndNotInsideTheCall() {
        VirtualTime time = new VirtualTime();
        List<Double> at = new ArrayList<>();
        time.after(10, () -> {
            time.after(-5, () -> at.add(time.now()));
            at.add(-1.0);
        });
        time.runUntil(20);
        assertEquals(List.of(-1.0, 10.0), at);
    }
}
