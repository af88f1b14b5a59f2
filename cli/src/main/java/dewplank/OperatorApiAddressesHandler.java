package dewplank;

import dewplank.client.OperatorApiAddresses;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.OptionDef;
import org.kohsuke.args4j.spi.OneArgumentOptionHandler;
import org.kohsuke.args4j.spi.Setter;

/** Parses {@code HOST:PORT,HOST:PORT}. Public because args4j instantiates it. */
public final class OperatorApiAddressesHandler extends OneArgumentOptionHandler<OperatorApiAddresses> {
    /** Called by args4j. */
    public OperatorApiAddressesHandler(
            CmdLineParser parser, OptionDef option, Setter<? super OperatorApiAddresses> setter) {
        super(parser, option, setter);
    }

    @Override
    @SuppressWarnings("deprecation") // the other constructor requires a localizable message
    protected OperatorApiAddresses parse(String text) throws CmdLineException {
        try {
            return OperatorApiAddresses.parse(text);
        } catch (IllegalArgumentException e) {
            throw new CmdLineException(owner, "--at: " + e.getMessage());
        }
    }
}
