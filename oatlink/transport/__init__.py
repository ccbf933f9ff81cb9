"""How connections end, shared by the gateways' client and server connections."""
