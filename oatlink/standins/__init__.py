"""Stand-in database servers, made from public specifications; must not import `oatlink.core`."""
