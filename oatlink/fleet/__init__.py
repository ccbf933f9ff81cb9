"""What gateways share, where the settings have a `fleet` part: limits, verdicts, versions. Nothing else imports it."""
