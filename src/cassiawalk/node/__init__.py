"""Puts one host's components together."""

from cassiawalk.node.host import Node as Node
