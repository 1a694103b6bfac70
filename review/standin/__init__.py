"""Stand-ins for the platform around a node: front ends, render farm agent, ledger and registry."""
