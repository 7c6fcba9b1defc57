"""Assembles the components of one host."""

from cassiawalk.node.host import Node as Node
