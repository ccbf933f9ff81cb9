"""The router's decisions, one module for each question. Events and actions: `oatlink/interface.py`."""

from oatlink.rules.router import Router as Router
