//! Messages between borrowers and lenders.

use crate::Engine;
use crate::Output;
use organisation::group_of;
use organisation::Lender;
use organisation::LoanRequest;
use organisation::GROUP_COUNT;
use proto::Datagram;
use proto::Incarnation;
use proto::Loan;
use proto::QuotaMessage;
use proto::TokenDemand;
use proto::PROTOCOL_VERSION;
use std::net::SocketAddr;
use stdx::Time;

impl Engine {
    /// Sends a request to the lender, which may be this node.
    pub(crate) fn request_loans(&mut self, now: Time, group: u8, loans: LoanRequest) {
        let LoanRequest {
            lender,
            request_id,
            vote_stamp,
            wanted,
        } = loans;
        let own_incarnation = self.own_instance.incarnation;
        if lender == own_incarnation {
            let (stamp, granted) = self.lend(now, group, own_incarnation, vote_stamp, &wanted);
            return self.on_loans_granted(now, own_incarnation, group, request_id, stamp, &granted);
        }
        let Some(peer) = self.members.get(lender) else {
            return;
        };
        let to = peer.instance.addr;
        let message = QuotaMessage::Borrow {
            from: own_incarnation,
            to: lender,
            group,
            request_id,
            vote_stamp,
            wanted,
        };
        self.send_quota(to, message);
    }

    pub(crate) fn on_quota_message(&mut self, now: Time, addr: SocketAddr, message: QuotaMessage) {
        let own_incarnation = self.own_instance.incarnation;
        match message {
            QuotaMessage::Borrow {
                from,
                to,
                group,
                request_id,
                vote_stamp,
                wanted,
            } if to == own_incarnation && group < GROUP_COUNT => {
                self.refresh_election(now);
                let (stamp, granted) = self.lend(now, group, from, vote_stamp, &wanted);
                let message = QuotaMessage::Lend {
                    from: own_incarnation,
                    to: from,
                    group,
                    request_id,
                    stamp,
                    loans: granted,
                };
                self.send_quota(addr, message);
            }
            QuotaMessage::Lend {
                from,
                to,
                group,
                request_id,
                stamp,
                loans: granted,
            } if to == own_incarnation && group < GROUP_COUNT => {
                self.on_loans_granted(now, from, group, request_id, stamp, &granted);
            }
            // Meant for an earlier incarnation at this address, which no longer lends and holds no
            // votes.
            QuotaMessage::Borrow {
                from,
                to,
                group,
                request_id,
                ..
            } => {
                let message = QuotaMessage::Lend {
                    from: to,
                    to: from,
                    group,
                    request_id,
                    stamp: 0,
                    loans: Vec::new(),
                };
                self.send_quota(addr, message);
            }
            QuotaMessage::Lend { .. } => {}
        }
    }

    fn lend(
        &mut self,
        now: Time,
        group: u8,
        from: Incarnation,
        vote_stamp: u64,
        wanted: &[TokenDemand],
    ) -> (u64, Vec<Loan>) {
        if self.stopping || self.holds_rules_back() {
            return (0, Vec::new());
        }
        let voters = self.quota.voters;
        let lender = &mut self.quota.lender;
        lender.on_vote(now, group, from, vote_stamp, voters);
        let Some(organisations) = &self.journal.rules.organisations else {
            return (Lender::stamp(now), Vec::new());
        };
        let mut granted = Vec::new();
        for demand in wanted {
            let id = demand.organisation;
            let quota = organisations.get(id).and_then(|found| found.quota);
            if let Some(quota) = quota.filter(|_| group_of(id) == group) {
                granted.push(lender.lend(now, *demand, quota, voters));
            }
        }
        (Lender::stamp(now), granted)
    }

    fn on_loans_granted(
        &mut self,
        now: Time,
        from: Incarnation,
        group: u8,
        request_id: u64,
        stamp: u64,
        granted: &[Loan],
    ) {
        let borrower = &mut self.quota.borrower;
        let loans = borrower.on_lend(now, from, group, request_id, stamp, granted);
        for (demand, loan) in loans {
            self.admit_waiting(now, loan.organisation);
            self.on_loan_by_slack(now, demand, loan);
        }
    }

    fn send_quota(&mut self, to: SocketAddr, message: QuotaMessage) {
        let datagram = Datagram::Quota {
            version: PROTOCOL_VERSION,
            message,
        };
        self.outputs.push(Output::Datagram { to, datagram });
    }
}
