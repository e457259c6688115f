//! Single steps of a gateway and of the ledger.
