"""Drive the state machines of the keys, pools and steps whose home this node is."""
