package dewplank.dataplane;

import dewplank.configuration.Configuration;
import dewplank.configuration.ConfigurationDelta;
import dewplank.configuration.CorruptDeflateException;
import dewplank.configuration.DeflateCodec;
import dewplank.configuration.InvalidConfigurationException;
import dewplank.message.FleetUpdate;
import dewplank.message.MessageCodec;

/** Applies the configurations, complete or as deltas, that control planes send in updates. */
final class ConfigurationUpdater {
    /** The result of applying the configuration of an update. */
    sealed interface Result {
        /** The configuration is now in force, or is not newer than the one in force. */
        record Applied() implements Result {}

        /** The configuration is a delta to a version that is not in force here. */
        record BaseMismatch() implements Result {}

        /** The bytes are not a valid configuration, or not a valid delta to the one in force. */
        record Corrupt(String reason) implements Result {}
    }

    private static final Result APPLIED = new Result.Applied();
    private static final Result BASE_MISMATCH = new Result.BaseMismatch();

    private final FleetMetadata fleet;

    ConfigurationUpdater(FleetMetadata fleet) {
        this.fleet = fleet;
    }

    /** Applies the configuration of an update; the update must contain one. */
    Result apply(FleetUpdate update) {
        if (update.configurationVersion <= fleet.configurationVersion()) {
            return APPLIED;
        }
        try {
            byte[] inflated = DeflateCodec.inflate(update.configuration, MessageCodec.MAX_BODY_BYTES);
            if (update.baseVersion == 0) {
                fleet.updateConfiguration(Configuration.parse(inflated));
            } else if (update.baseVersion == fleet.configurationVersion()) {
                fleet.updateConfiguration(ConfigurationDelta.apply(fleet.configuration(), inflated));
            } else {
                return BASE_MISMATCH;
            }
            return APPLIED;
        } catch (CorruptDeflateException | InvalidConfigurationException e) {
            return new Result.Corrupt(e.getMessage());
        }
    }
}
