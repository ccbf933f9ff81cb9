"""Every decision of the router, one module a question. Its events and actions: `oatlink/interface.py`."""

from oatlink.rules.router import Router as Router
