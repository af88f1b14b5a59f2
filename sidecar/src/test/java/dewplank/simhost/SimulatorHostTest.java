package dewplank.simhost;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.settings.InvalidInputException;
import java.io.IOException;
import java.io.StringReader;
import java.io.StringWriter;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The adapter to the simulator: the output for a complete transcript, and error messages for invalid input. */
class SimulatorHostTest {
    private static final String CREATE = "[\"CREATE\",3,99,{\"Accounts\":[],\"Az\":\"z1\",\"Classes\":[{"
            + "\"Deadline\":600.0,\"Idempotency\":\"read_like\",\"KeyScope\":\"all\",\"KeyTtl\":5000.0,"
            + "\"Name\":\"look\",\"Objective\":300.0,\"Worth\":2.0,\"Novel\":[1,{\"a\":null}]}],"
            + "\"CountedBy\":\"work\",\"FamilyInfo\":{\"WarmKeys\":false},\"Feedback\":{\"Names\":[],\"Via\":\"none\"},"
            + "\"Goal\":{\"Whole\":1.0},\"Limits\":{\"Cancelling\":true,\"ConnectTimeout\":120.0,\"MayProbe\":false,"
            + "\"Multiplex\":100,\"Peers\":false,\"RetryAfter\":true,\"MaxRetryAfter\":300.0,\"SecondCopies\":false,"
            + "\"SendCap\":4},\"Me\":0,\"RegistryMode\":\"on_request\",\"ReplicasOfMe\":2,"
            + "\"Safety\":{\"AskWithin\":10000.0,\"Cold\":8900.0,\"ColdShare\":0.3,\"DrainGrace\":500.0,"
            + "\"FallMultiple\":4.0,\"TipAfter\":2000.0},\"Tariffs\":{},\"Tick\":4.0,\"Unknown\":7,"
            + "\"Weights\":\"none\",\"Zones\":[\"z1\"]}]";
    private static final String START = "[\"TURN\",1000.25,1]\n" + CREATE + "\n"
            + "[\"SNAPSHOT_ROWS\",0,[[\"10.0.0.1:80\",\"z1\",\"k\",0,\"up\",1,null]]]\n"
            + "[\"VIEW\",3,0,41,\"stale_copy\"]\n";

    private static String run(String input) throws IOException {
        StringWriter out = new StringWriter();
        new SimulatorHost(new StringReader(input), out).run();
        return out.toString().replaceFirst("^\n", "").replaceAll("\n+", "\n");
    }

    private static String errorMessage(String input) {
        return assertThrows(InvalidInputException.class, () -> run(input)).getMessage();
    }

    @Test
    void aTranscriptProducesTheExpectedOutput() throws IOException {
        String out = run(START + "[\"END\"]\n"
                + "[\"TURN\",1004.25,2]\n"
                + "[\"INBOUND\",3,2565059112505796,null,\"user:a\",1,\"look\",540.0,12.0]\n[\"END\"]\n"
                + "[\"TURN\",1030.5,3]\n"
                + "[\"FINISHED\",3,2565059112505796,0,\"10.0.0.1:80\",\"success\",26.25,true,null]\n"
                + "[\"ABANDONED\",3,2565059112505796]\n[\"DEADLINE_HIT\",3,1]\n[\"END\"]\n"
                + "[\"TURN\",1040,4]\n[\"KILLED\",3]\n" + CREATE + "\n[\"SNAPSHOT_ROWS\",0,[]]\n"
                + "[\"VIEW\",3,0,41,\"stale_copy\"]\n[\"END\"]\n");
        assertEquals(
                "[\"LISTEN\",3,true]\n[\"OK\",1]\n"
                        + "[\"ISSUE\",3,2565059112505796,\"10.0.0.1:80\",0.0]\n[\"DEFER\",3,1,36.0]\n[\"OK\",2]\n"
                        + "[\"OK\",3]\n[\"LISTEN\",3,true]\n[\"OK\",4]\n",
                out);
    }

    @Test
    void inputMayEndBetweenBatches() throws IOException {
        assertEquals("", run(""));
    }

    @Test
    void anExceptionInTheBalancerIsReportedAsABug() throws IOException {
        String out = run(START + "[\"INBOUND\",3,5,null,null,1,\"no such class\",540.0,12.0]\n[\"END\"]\n");
        assertTrue(out.contains("[\"BUG\",3,"), out);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "what | line 5: not JSON",
                "{} | line 5: expected a JSON array",
                "[\"GUESS\",3] | line 5: unknown message GUESS",
                "[\"ABANDONED\",4,1] | line 5: ABANDONED: no instance 4",
                "[\"KILLED\",4] | line 5: KILLED: no instance 4",
                "[\"ABANDONED\",3] | line 5: ABANDONED: value 2 should be an integer",
                "[\"ABANDONED\",3,\"1\"] | line 5: ABANDONED: value 2 should be an integer",
                "[\"VIEW\",3,7,1,\"whole\"] | line 5: VIEW: no list in slot 7",
                "[\"VIEW\",3,0,1,\"odd\"] | line 5: VIEW: unknown value odd",
                "[\"TURN\",1,2] | line 5: TURN inside a batch",
                "[\"CREATE\",5,1,{\"Me\":0}] | line 5: setting ReplicasOfMe is missing",
            })
    void theErrorForInvalidInputStatesTheLineNumber(String line, String errorMessage) {
        assertEquals(errorMessage, errorMessage(START + line + "\n[\"END\"]\n"));
    }

    @Test
    void inputMayNotEndInsideABatch() {
        assertEquals("line 4: input ends inside a batch", errorMessage(START));
    }

    @Test
    void theErrorNamesSettingsOfTheWrongType() {
        String safety = errorMessage(
                START.replace("\"DrainGrace\"", "\"FullMayHaveRun\":\"yes\",\"DrainGrace\"") + "[\"END\"]\n");
        assertTrue(safety.contains("Safety.FullMayHaveRun should be true or false"), safety);
        String goal = errorMessage(START.replace("{\"Whole\":1.0}", "{\"Whole\":1.0,\"Tail\":[]}") + "[\"END\"]\n");
        assertTrue(goal.contains("Goal.Tail should be a number"), goal);
        String share = errorMessage(
                START.replace("{\"Whole\":1.0}", "{\"Whole\":1.0,\"Tail\":0.2,\"MissAllowed\":true}") + "[\"END\"]\n");
        assertTrue(share.contains("Goal.MissAllowed should be a number"), share);
    }

    @Test
    void missAllowedWithoutATailIsIgnored() throws IOException {
        run(START.replace("{\"Whole\":1.0}", "{\"Whole\":0.0,\"MissAllowed\":7}") + "[\"END\"]\n");
    }
}
