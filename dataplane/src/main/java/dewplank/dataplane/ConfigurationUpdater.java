package dewplank.dataplane;

import dewplank.configuration.Configuration;
import dewplank.configuration.ConfigurationDelta;
import dewplank.configuration.CorruptDeflateException;
import dewplank.configuration.DeflateCodec;
import dewplank.configuration.InvalidConfigurationException;
import dewplank.message.FleetUpdate;
import dewplank.message.MessageCodec;

/** Puts the configurations of control planes' updates in force, complete ones and deltas. */
final class ConfigurationUpdater {
    /** What became of the configuration of one update. */
    sealed interface Result {
        /** It is in force, or no newer than what is. */
        record Applied() implements Result {}

        /** It is a delta to a version that is not in force here. */
        record BaseMismatch() implements Result {}

        /** Its bytes are no configuration, or no delta to the one in force. */
        record Corrupt(String reason) implements Result {}
    }

    private static final Result APPLIED = new Result.Applied();
    private static final Result BASE_MISMATCH = new Result.BaseMismatch();

    private final FleetMetadata fleet;

    ConfigurationUpdater(FleetMetadata fleet) {
        this.fleet = fleet;
    }

    /** Applies an update that carries a configuration. */
    Result apply(FleetUpdate update) {
        if (update.configurationVersion <= fleet.configurationVersion()) {
            return APPLIED;
        }
        try {
            byte[] plain = DeflateCodec.inflate(update.configuration, MessageCodec.MAX_BODY_BYTES);
            if (update.baseVersion == 0) {
                fleet.updateConfiguration(Configuration.parse(plain));
            } else if (update.baseVersion == fleet.configurationVersion()) {
                fleet.updateConfiguration(ConfigurationDelta.apply(fleet.configuration(), plain));
            } else {
                return BASE_MISMATCH;
            }
            return APPLIED;
        } catch (CorruptDeflateException | InvalidConfigurationException e) {
            return new Result.Corrupt(e.getMessage());
        }
    }
}
