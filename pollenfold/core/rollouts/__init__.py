"""Roll-outs of new versions of a service: state, evidence and decisions."""
